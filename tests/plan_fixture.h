#ifndef PLAN_FIXTURE_H
#define PLAN_FIXTURE_H

/**
 * @file plan_fixture.h
 * Fixture of the planner's tests: a planner (see plan.h), its clock, its last
 * decision and helper functions.
 */

#include <stdbool.h>
#include <stdint.h>

#include "plan.h"

#define SECOND_US 1000000ull

extern struct plan *plan;
extern uint64_t now_us;
extern struct plan_decision decision;

void set_up_policies(const char *place, const char *evict);
void set_up(void);
void tear_down(void);
void add_vm(const char *name, const char *zone, const char *rack,
	    uint32_t cpu_millis, uint32_t memory_mib);
void set_zone(const char *name, bool out);
struct job_record make_job(uint64_t job_id, uint32_t job_class,
			   uint32_t cpu_millis, uint32_t memory_mib);
struct task_record make_task(uint64_t task_id, uint64_t job_id, uint32_t state);
/** Adds a job with nr_tasks pending tasks numbered job_id * 1000 + i. */
void add_job(struct job_record job, uint32_t nr_tasks);
void set_task_on(uint64_t task_id, uint64_t job_id, uint32_t state,
		 const char *vm, uint32_t cpu_millis, uint32_t memory_mib);
/** Commits the last decision, a PLAN_PLACE, as a running task. */
void run_decided(void);
/** Gets the next decision; returns false if there is none. */
bool next(void);
/** Expects PLAN_PLACE of the task as the next decision. */
void expect_place(uint64_t task_id);
/** Fills VM "a" of 8 cores with 8 running batch tasks of job 1. */
void fill_with_batch(void);
/** Commits the last decision, a PLAN_EVICT: the task is pending again. */
void confirm_stop(void);

#endif /* PLAN_FIXTURE_H */
