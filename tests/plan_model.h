#ifndef PLAN_MODEL_H
#define PLAN_MODEL_H

/**
 * @file plan_model.h
 * A small model of workers behind plan.h in virtual time: tasks differ from
 * what was declared, slow each other, and are sampled with a lag.
 */

#include <stdbool.h>
#include <stdint.h>

#define PPM 1000000ull
#define RUN_US (900 * PPM)
#define NR_KINDS 13

struct kind {
	const char *name;
	/* cores in millis and memory in MiB, as on a VM of 64 cores */
	uint32_t declared_cpu;
	uint32_t declared_memory;
	uint32_t cpu; /* declared nearly right */
	uint32_t far_cpu; /* declared far off */
	uint32_t memory;
	uint32_t run_s;
	uint32_t noise; /* slowdown of a service in ppm for each task */
	uint32_t weight; /* share of the arrivals */
	bool no_checkpoint;
	bool fails;
};

extern const struct kind kinds[NR_KINDS];

struct profile {
	const char *name;
	uint32_t nr_zones;
	uint32_t nr_vms;
	uint32_t cpu_millis;
	uint32_t memory_mib;
	uint32_t divisor; /* of the kinds' sizes */
};

/** What one run measured. */
struct outcome {
	uint64_t finished; /* tasks */
	uint64_t work_core_s; /* of finished tasks */
	uint64_t failed_jobs;
	uint64_t failures;
	uint64_t evictions;
	uint64_t throttles;
	uint64_t p50_ppm; /* slowdown of the service */
	uint64_t p99_ppm;
	uint64_t urgent_max_ms;
	uint64_t urgent_late;
	uint64_t big_max_wait_s;
	uint64_t service_down_s; /* sum over the replicas */
	uint64_t late_starts; /* in a zone that was out */
	uint64_t committed_percent; /* mean share of the processors */
	uint64_t used_percent;
};

/** Runs one policy, with or without a zone that leaves for the middle third. */
struct outcome run_model(const struct profile *profile, bool far,
			 const char *place, const char *evict, bool with_zone,
			 uint32_t seed);

#endif /* PLAN_MODEL_H */
