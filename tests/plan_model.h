#ifndef PLAN_MODEL_H
#define PLAN_MODEL_H

/**
 * @file plan_model.h
 * A simulation of VMs and tasks in virtual time, in which the planner decides
 * (see plan.h). Tasks use other amounts than declared, slow each other down,
 * and their usage samples reach the planner late. Tasks of one kind use and
 * declare the same amounts.
 */

#include <stdbool.h>
#include <stdint.h>

#define PPM 1000000ull
#define RUN_US (900 * PPM)
#define NR_KINDS 13

struct kind {
	const char *name;
	/* Cores in millis and memory in MiB, on a VM of 64 cores. */
	uint32_t declared_cpu;
	uint32_t declared_memory;
	uint32_t cpu; /* used, in simulations with use nearly as declared */
	uint32_t far_cpu; /* used, in simulations with use far from declared */
	uint32_t memory; /* used at the end of a run */
	uint32_t run_s; /* run time without neighbours; 0: runs for ever */
	uint32_t noise; /* slowdown of a service by one task, in ppm */
	uint32_t weight; /* relative frequency among the arrivals */
	bool no_checkpoint; /* an evicted task starts again from 0 */
	bool fails; /* every run fails at its end */
};

extern const struct kind kinds[NR_KINDS];

struct profile {
	const char *name;
	uint32_t nr_zones;
	uint32_t nr_vms;
	uint32_t cpu_millis; /* of each VM */
	uint32_t memory_mib; /* of each VM */
	uint32_t divisor; /* divides the sizes of all kinds */
};

/** Measurements of one run. */
struct outcome {
	uint64_t finished; /* tasks that ended successfully */
	uint64_t work_core_s; /* their work, in tenths of core seconds */
	uint64_t failed_jobs;
	uint64_t failures; /* runs that failed */
	uint64_t evictions; /* of batch tasks */
	uint64_t throttles;
	uint64_t p50_ppm; /* median slowdown of the service */
	uint64_t p99_ppm; /* 99th percentile of the service's slowdown */
	uint64_t urgent_max_ms; /* longest wait of an urgent task */
	uint64_t urgent_late; /* urgent tasks that waited above 2800 ms */
	uint64_t big_max_wait_s; /* longest wait of a task of kind "big-plan" */
	uint64_t service_down_s; /* time not running, sum over the replicas */
	uint64_t late_starts; /* starts in a zone that was out of service */
	uint64_t committed_percent; /* mean share of all processors */
	uint64_t used_percent; /* mean share of all processors */
};

/**
 * Runs the simulation with the given policies. Tasks use far_cpu instead of cpu
 * if @a far is set. If @a with_zone is set, a zone is out of service for the
 * middle third of the time.
 */
struct outcome run_model(const struct profile *profile, bool far,
			 const char *place, const char *evict, bool with_zone,
			 uint32_t seed);

#endif /* PLAN_MODEL_H */
