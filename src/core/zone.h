#ifndef ZONE_H
#define ZONE_H

/**
 * @file zone.h
 * One availability zone as the planner sees it, with an index of its VMs by
 * spare processors and memory. Only VMs that may be given tasks are indexed.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "vm.h"

/* Classes grow by a quarter of a power of two: 64 cores are class 35 in units
 * of 125 millis, 250 GB are class 43 in units of 64 MiB. */
#define ZONE_ROWS 64
#define ZONE_COLUMNS 64

struct zone {
	char name[NAME_BYTES];
	uint32_t nr; /* in order of arrival */
	bool out;
	uint32_t cost_ppm;
	uint64_t changed_us; /* when it last went out or in */
	bool returned; /* it was out before changed_us */
	uint64_t start_us; /* earliest next start after a return */
	GPtrArray *vms;
	uint64_t used_rows; /* bit per row with VMs */
	uint64_t used[ZONE_ROWS]; /* bit per column with VMs */
	GPtrArray *cells[ZONE_ROWS][ZONE_COLUMNS]; /* struct vm */
};

struct zone *zone_new(const char *name, uint32_t nr);
void zone_free(struct zone *zone);

/** Adds a VM to its zone, or moves it there. */
void zone_add_vm(struct zone *zone, struct vm *vm);
/** Brings the VM's place in the index up to date. */
void zone_index_vm(struct vm *vm);

/**
 * Collects up to @a max VMs that fit @a size, the tightest first. @a random
 * spreads the choice within a class. Looks at a bounded number of VMs.
 */
uint32_t zone_candidates(const struct zone *zone, const struct task_size *size,
			 uint64_t random, struct vm **out, uint32_t max);

/** Returns how many VMs surely fit @a size, stopping at @a max. */
uint32_t zone_count(const struct zone *zone, const struct task_size *size,
		    uint32_t max);

/** Returns the class of @a units, rising with it. */
uint32_t zone_class(uint32_t units);

#endif /* ZONE_H */
