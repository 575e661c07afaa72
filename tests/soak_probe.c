/**
 * @file soak_probe.c
 * Detects when the machine held processes up because its processors or its disk
 * were busy. Writes, syncs and sleeps in a loop and adds "BEGIN_US END_US" to
 * the journal for each round that took too long. The platform's time limits
 * don't hold for processes that are held up.
 *
 * soak_probe FILE JOURNAL
 */

#include <fcntl.h>
#include <glib.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define ROUND_US UINT64_C(20000)
/* Includes the sync, which takes 9 ms on the sites' machines. */
#define STALL_US INT64_C(300000)
#define RECORD_BYTES 512

int main(int argc, char **argv)
{
	char record[RECORD_BYTES] = { 0 };
	FILE *journal;
	int fd;

	if (argc != 3)
		return EXIT_FAILURE;
	fd = open(argv[1], O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
	journal = fopen(argv[2], "w");
	if (fd < 0 || !journal)
		return EXIT_FAILURE;
	for (;;) {
		gint64 begin_us = g_get_monotonic_time();
		gint64 end_us;

		if (pwrite(fd, record, sizeof(record), 0) < 0 || fdatasync(fd))
			return EXIT_FAILURE;
		g_usleep(ROUND_US);
		end_us = g_get_monotonic_time();
		if (end_us - begin_us < STALL_US)
			continue;
		fprintf(journal, "%" G_GINT64_FORMAT " %" G_GINT64_FORMAT "\n",
			begin_us, end_us);
		fflush(journal);
	}
}
