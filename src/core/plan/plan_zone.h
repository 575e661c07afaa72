#ifndef PLAN_ZONE_H
#define PLAN_ZONE_H

/**
 * @file plan_zone.h
 * The planner's record of one availability zone, with an index of its VMs by
 * size class of their available processors (row) and memory (column). Only VMs
 * that accept tasks are indexed.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "plan_vm.h"

/*
 * Rows are size classes of processors, columns are size classes of memory. Each
 * power of two has four classes, see plan_zone_class(): 64 cores are class 35
 * in units of 125 millis, 250 GB are class 43 in units of 64 MiB.
 */
#define ZONE_ROWS 64
#define ZONE_COLUMNS 64

struct plan_zone {
	char name[NAME_BYTES];
	uint32_t nr; /* index in plan.zone_list */
	bool out; /* operators took the zone out of service */
	uint32_t cost_ppm; /* cost of placing tasks here, from the bundle */
	uint64_t changed_us; /* when out last changed */
	bool returned; /* the last change put it back into service */
	uint64_t start_us; /* when batch may start next after a return */
	GPtrArray *vms; /* struct plan_vm, indexed or not */
	uint64_t used_rows; /* a bit for each row that has VMs */
	uint64_t used[ZONE_ROWS]; /* by row, a bit for each column with VMs */
	GPtrArray *cells[ZONE_ROWS][ZONE_COLUMNS]; /* struct plan_vm */
};

struct plan_zone *plan_zone_new(const char *name, uint32_t nr);
void plan_zone_free(struct plan_zone *zone);

/** Adds a VM to its zone, or moves it there. */
void plan_zone_add_vm(struct plan_zone *zone, struct plan_vm *vm);
/** Updates the VM's position in the index. */
void plan_zone_index_vm(struct plan_vm *vm);

/**
 * Collects up to @a max VMs on which @a size fits, starting with the smallest
 * classes that may fit. @a random selects where to start within a class. Checks
 * a bounded number of VMs.
 */
uint32_t plan_zone_candidates(const struct plan_zone *zone,
			      const struct task_size *size, uint64_t random,
			      struct plan_vm **out, uint32_t max);

/**
 * Returns the number of VMs in classes where @a size certainly fits. Stops
 * counting at @a max.
 */
uint32_t plan_zone_count(const struct plan_zone *zone,
			 const struct task_size *size, uint32_t max);

/** Returns the size class of @a units; larger sizes have higher classes. */
uint32_t plan_zone_class(uint32_t units);

#endif /* PLAN_ZONE_H */
