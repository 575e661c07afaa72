#ifndef STORE_IMAGE_H
#define STORE_IMAGE_H

/** @file store_image.h Reads the files of a control replica's data folder. */

#include <glib.h>
#include <stdint.h>

#include "msg_raft.h"
#include "result.h"

#define STORE_HARD "hard"
#define STORE_SNAPSHOT "snapshot"
#define STORE_LOG "log"
#define STORE_MAGIC "masticreach log 1\n"
#define STORE_MAGIC_BYTES 18

/* First record of each batch: salt of the file and number of the batch. */
#define STORE_BATCH TYPE_NONE
#define STORE_BATCH_BYTES 16

/** One entry in the log file. */
struct store_slot {
	uint64_t term;
	uint64_t offset;
};

/** The content of the folder. */
struct store_content {
	struct hard_state hard_state;
	struct snapshot_head snapshot;
	GArray *records; /* of struct snapshot_record */
	GArray *entries; /* of struct log_entry, behind the snapshot */
	GArray *slots; /* of struct store_slot, one for each entry */
	uint64_t salt; /* 0: no log yet */
	uint64_t batch_nr; /* of the last batch */
	uint64_t log_size; /* without the torn tail */
	uint64_t truncated_bytes;
	gboolean stale; /* the log holds entries that the snapshot replaces */
};

void store_content_init(struct store_content *content);
void store_content_clear(struct store_content *content);
enum result store_content_read(struct store_content *content, int dir_fd);

#endif /* STORE_IMAGE_H */
