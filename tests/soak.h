#ifndef SOAK_H
#define SOAK_H

/**
 * @file soak.h
 * The randomized soak of the real programs on the platform's protocol. Clients
 * and two operators call while faults come in series; what they saw and what
 * the workers' journals show is checked against the platform's rules.
 *
 * All decisions are drawn from the seed; only the moments differ between runs.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "testbed.h"

/* Bounds of the platform's settings, in milliseconds. */
#define SOAK_CONTACT_MS 3000 /* after a fault that long no bound holds */
#define SOAK_ACK_MS 4000 /* of a valid order of the operator */
#define SOAK_CONFIG_MS 2000 /* a configuration is in force */
#define SOAK_EVACUATE_MS 5000 /* nothing more starts in a zone */
#define SOAK_CANCEL_MS 3000 /* nothing more starts of a submission */
#define SOAK_STOP_MS 900 /* a stop takes at most */
#define SOAK_GRACE_S 6 /* from SIGTERM to SIGKILL */
#define SOAK_CATCH_UP_MS 4000 /* a replica that is back counts as lost */
#define SOAK_RECOVER_MS 12000 /* service is back after the last fault */
#define SOAK_FINISH_MS 40000 /* leases, late orders, elections are over */

#define SOAK_ATTEMPTS 3 /* runs of a task that may fail */
#define SOAK_NR_ROUTES 4 /* that versions leave out in turn */

enum soak_role { SOAK_CONTROL, SOAK_ENTRY, SOAK_AGENT, SOAK_WORKER };

enum soak_proc_state {
	VM_RUNS,
	VM_PAUSED,
	VM_LEAVING, /* between SIGTERM and its end */
	VM_DOWN,
};

struct soak_span {
	int64_t begin_us;
	int64_t end_us; /* G_MAXINT64: lasts */
};

/** A process under test. */
struct soak_proc {
	struct tb_proc *proc;
	enum soak_role role;
	enum soak_proc_state state;
	int64_t until_ms; /* end of the pause, of the grace or of the stop */
	int64_t sigterm_ms; /* since when it has a SIGTERM */
	bool wipe; /* loses its disk before it starts again */
	int64_t limited_until_ms; /* its files are until then */
	uint32_t nr_lives;
	const char *zone; /* SOAK_AGENT */
	GArray *harm; /* struct soak_span: killed or paused */
	GArray *touched; /* struct soak_span: also signals and links */
};

struct soak_shape {
	uint32_t nr_controls;
	uint32_t nr_entries;
	uint32_t nr_workers;
	uint32_t nr_clients;
	uint32_t faults_ms;
	uint32_t late_percent;
};

struct soak_stats {
	uint32_t nr_calls;
	uint32_t nr_submitted;
	uint32_t nr_accepted;
	uint32_t nr_rejected; /* all attempts answered 429 or 503 */
	uint32_t nr_stable_refusals; /* 503 with all in touch */
	uint32_t nr_unread; /* connections reset with a request unread */
	uint32_t nr_excused; /* no answer from a process killed or paused */
	uint32_t nr_orders;
	uint32_t nr_acknowledged;
	uint32_t nr_read_back;
	uint32_t nr_faults;
	uint32_t stalled_ms; /* by the machine, not by a fault of ours */
};

struct soak_clients;
struct soak_operators;
struct soak_faults;

struct soak {
	const struct soak_shape *shape;
	uint64_t seed;
	struct testbed *tb;
	GPtrArray
		*vms; /* struct soak_proc *: controls, entries, agents, workers
		       */
	GArray *core_faults; /* struct soak_span */
	uint32_t nr_core_faults; /* in progress */
	GArray *unconfirmed_violations; /* violations to be judged at the end */
	struct soak_clients *clients;
	struct soak_operators *operators;
	struct soak_faults *faults;
	struct soak_stats stats;
	uint32_t nr_violations;
};

int64_t soak_now_ms(void);
/** Returns true in @a percent of 100 draws. */
bool soak_chance(GRand *random, uint32_t percent);
/** Prints and counts a broken rule. */
void soak_violation(struct soak *soak, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
/**
 * The same for a rule that holds if the core had no fault and the machine did
 * not stall from @a from_us until now; known at the end only.
 */
void soak_violation_if_stable(struct soak *soak, int64_t from_us,
			      const char *format, ...) G_GNUC_PRINTF(3, 4);
/** Prints what the soak itself does, beside the processes' logs. */
void soak_note(const char *format, ...) G_GNUC_PRINTF(1, 2);

/* ---- soak_site.c: the site ---- */

void soak_site_start(struct soak *soak, const char *program);
void soak_site_free(struct soak *soak);
/** Returns the i-th process of the role, NULL past the last one. */
struct soak_proc *soak_proc_at(const struct soak *soak, enum soak_role role,
			       uint32_t i);
uint32_t soak_nr_procs(const struct soak *soak, enum soak_role role);
void soak_span_begin(GArray *spans);
void soak_span_end(GArray *spans);
/** Returns true if a span and [from_us, to_us] have a moment in common. */
bool soak_spans_overlap(const GArray *spans, int64_t from_us, int64_t to_us);
/** Returns for how long the machine held processes up since then. */
uint32_t soak_site_stalled_ms(const struct soak *soak, int64_t since_ms);
/** Adds the moments at which the machine held processes up to the core's harm.
 */
void soak_site_add_stalls(struct soak *soak);
/** Returns for how long the core has had no fault, 0 during one. */
int64_t soak_core_fault_free_ms(const struct soak *soak);
/** The core had no fault for contactMs before, and has none. */
bool soak_core_stable(const struct soak *soak, int64_t from_us, int64_t to_us);

/* ---- soak_faults.c ---- */

void soak_faults_start(struct soak *soak);
/** Ends all faults and starts what is down; none follows. */
void soak_faults_end(struct soak *soak);
/** Returns true while a process is down or paused. */
bool soak_faults_active(const struct soak *soak);
void soak_faults_free(struct soak *soak);

/* ---- soak_clients.c ---- */

struct soak_flow_kind {
	const char *name;
	uint32_t nr_steps;
	uint32_t nr_tasks; /* a step */
	uint32_t cpu_millis;
	uint32_t run_ms; /* 0: lasts */
	const char *how; /* "done", "fail" or "once", see the stand-in */
	bool fills;
	uint32_t target_ms;
	uint32_t weight; /* of the draw */
};

enum soak_flow_state {
	SOAK_UNKNOWN, /* no answer yet, or none that says */
	SOAK_REJECTED, /* 429 or 503 to every attempt */
	SOAK_ACCEPTED,
};

/** A submission, as its client knows it. */
struct soak_flow {
	char id[17];
	const struct soak_flow_kind *kind;
	enum soak_flow_state state;
	uint32_t nr_attempts;
	int64_t accepted_ms;
	int64_t cancel_sent_ms; /* 0: never */
	int64_t cancelled_us; /* acknowledged, 0: not */
	const char *shown; /* final state that was shown, NULL: none */
	int64_t final_us;
};

void soak_clients_start(struct soak *soak);
/** No client begins anything new; answers that are due still come. */
void soak_clients_stop(struct soak *soak);
bool soak_clients_idle(const struct soak *soak);
/** Cancels the lasting submissions until all are acknowledged. */
void soak_clients_cancel_lasting(struct soak *soak);
/** Asks for the state of all that isn't final; counts what is missing. */
uint32_t soak_clients_poll(struct soak *soak);
/** Returns the submission with the id, NULL for none. */
struct soak_flow *soak_flow_find(const struct soak *soak, const char *id);
GPtrArray *soak_flows(const struct soak *soak);
void soak_clients_free(struct soak *soak);

/* ---- soak_operator.c ---- */

void soak_operators_start(struct soak *soak);
/** No new order; those in progress go on. */
void soak_operators_stop(struct soak *soak);
bool soak_operators_idle(const struct soak *soak);
/**
 * Returns 1 if the route is in all versions that may be in force between the
 * two moments, 0 if in none, -1 otherwise.
 */
int soak_route_expected(const struct soak *soak, uint32_t route,
			int64_t from_ms, int64_t to_ms);
/**
 * Every replica shows the newest acknowledged version, and no order waited
 * longer than ackMs in a stretch in which the core was stable.
 */
void soak_operators_check_end(struct soak *soak);
/** Returns true if nothing may start in the zone at that moment. */
bool soak_zone_is_out(const struct soak *soak, const char *zone, int64_t t_us);
void soak_operators_free(struct soak *soak);

/* ---- soak_journal.c ---- */

void soak_journal_check(struct soak *soak);
/** Returns the number of tasks that run, of one submission or, NULL, of all. */
uint32_t soak_journal_running(struct soak *soak, const char *id);

#endif /* SOAK_H */
