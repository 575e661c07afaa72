#ifndef PLAN_ZONE_H
#define PLAN_ZONE_H

/**
 * @file plan_zone.h
 * One availability zone as the planner sees it, with an index of its VMs by
 * spare processors and memory. Only VMs that may be given tasks are indexed.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "plan_vm.h"

/* Classes grow by a quarter of a power of two: 64 cores are class 35 in units
 * of 125 millis, 250 GB are class 43 in units of 64 MiB. */
#define ZONE_ROWS 64
#define ZONE_COLUMNS 64

struct plan_zone {
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
	GPtrArray *cells[ZONE_ROWS][ZONE_COLUMNS]; /* struct plan_vm */
};

struct plan_zone *plan_zone_new(const char *name, uint32_t nr);
void plan_zone_free(struct plan_zone *zone);

/** Adds a VM to its zone, or moves it there. */
void plan_zone_add_vm(struct plan_zone *zone, struct plan_vm *vm);
/** Brings the VM's place in the index up to date. */
void plan_zone_index_vm(struct plan_vm *vm);

/**
 * Collects up to @a max VMs that fit @a size, the tightest first. @a random
 * spreads the choice within a class. Looks at a bounded number of VMs.
 */
uint32_t plan_zone_candidates(const struct plan_zone *zone,
			      const struct task_size *size, uint64_t random,
			      struct plan_vm **out, uint32_t max);

/** Returns how many VMs surely fit @a size, stopping at @a max. */
uint32_t plan_zone_count(const struct plan_zone *zone,
			 const struct task_size *size, uint32_t max);

/** Returns the class of @a units, rising with it. */
uint32_t plan_zone_class(uint32_t units);

#endif /* PLAN_ZONE_H */
