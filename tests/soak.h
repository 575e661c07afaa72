#ifndef SOAK_H
#define SOAK_H

/**
 * @file soak.h
 * Randomized soak test of the real programs on the platform's protocol. Clients
 * and two operators send requests while faults are injected. The answers and
 * the journals of the workers are checked against the platform's rules.
 *
 * A submission is a workflow that a client has sent. Fillers are tasks that use
 * processors which other tasks leave idle; serving tasks have a target for
 * their tail latency. An order is an operator's request to change the
 * configuration or to take a zone out or in.
 *
 * The control replicas are the core of the site. The platform's time limits
 * hold only while the core has no fault.
 *
 * All random decisions derive from the seed; only their timing differs between
 * runs of the same seed.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "testbed.h"

/* Time limits from the platform's settings, and of this test. */
#define SOAK_CONTACT_MS 3000 /* after a fault, until the limits hold */
#define SOAK_ACK_MS 4000 /* until an operator's valid order is acknowledged */
/*
 * Duration of a run's first phase of faults, in which the core has none; longer
 * than SOAK_CONTACT_MS and SOAK_ACK_MS together.
 */
#define SOAK_STABLE_CORE_MS 8500
#define SOAK_CONFIG_MS 2000 /* until an acknowledged config is in force */
#define SOAK_EVACUATE_MS 5000 /* until no task starts in a zone that is out */
#define SOAK_CANCEL_MS 3000 /* until no cancelled task starts */
#define SOAK_STOP_MS 900 /* longest time that stopping a task takes */
#define SOAK_GRACE_S 6 /* from SIGTERM to SIGKILL */
#define SOAK_CATCH_UP_MS 4000 /* a restarted replica counts as lost */
#define SOAK_RECOVER_MS 12000 /* from the last fault until service is back */
#define SOAK_FINISH_MS 40000 /* until leases, late calls, elections end */

#define SOAK_HARM_MS 4000 /* after a fault, until LOST is judged */

#define SOAK_ATTEMPTS 3 /* failed runs after which a task isn't run again */
#define SOAK_NR_ROUTES 4 /* each configuration version lacks one of them */

enum soak_role { SOAK_CONTROL, SOAK_ENTRY, SOAK_AGENT, SOAK_WORKER };

enum soak_proc_state {
	PROC_RUNNING,
	PROC_PAUSED,
	PROC_TERMINATING, /* after a SIGTERM, until the process has ended */
	PROC_DOWN,
};

struct soak_span {
	int64_t begin_us;
	int64_t end_us; /* G_MAXINT64: not ended yet */
};

/** A process under test and the faults that it had. */
struct soak_proc {
	struct tb_proc *handle;
	enum soak_role role;
	enum soak_proc_state state;
	int64_t until_ms; /* end of pause, grace period or downtime */
	int64_t sigterm_ms; /* time of the last SIGTERM, 0: none */
	int64_t silent_until_ms; /* of a worker, 0: it answers all calls */
	bool wipe; /* its data folder is emptied before it starts again */
	int64_t limited_until_ms; /* end of its file size limit, 0: none */
	uint32_t nr_starts; /* number of its incarnations */
	const char *zone; /* of an agent, NULL for the other roles */
	GArray *downtime; /* struct soak_span: it was killed or paused */
	GArray *disturbances; /* struct soak_span: it had any fault */
};

struct soak_shape {
	uint32_t nr_controls;
	uint32_t nr_entries;
	uint32_t nr_workers;
	uint32_t nr_clients;
	uint32_t faults_ms; /* time during which faults are injected */
	uint32_t late_percent; /* see struct tb_executor_opts */
	uint32_t silent_ms; /* duration of the phase with silent workers */
};

struct soak_stats {
	uint32_t nr_calls;
	uint32_t nr_submitted;
	uint32_t nr_accepted;
	uint32_t nr_rejected; /* submissions; all attempts got 429 or 503 */
	uint32_t nr_stable_refusals; /* 429 or 503 without a recent fault */
	uint32_t nr_unread; /* calls that a terminating process didn't read */
	uint32_t nr_excused; /* calls to a process that was killed or paused */
	uint32_t nr_orders; /* of the operators */
	uint32_t nr_acknowledged;
	uint32_t nr_read_back; /* configurations that replicas have shown */
	uint32_t nr_faults;
	uint32_t nr_lost_judged; /* ends of lasting tasks' runs */
	uint32_t stalled_ms; /* the machine held processes up */
};

struct soak_clients;
struct soak_operators;
struct soak_faults;

struct soak {
	const struct soak_shape *shape;
	uint64_t seed;
	struct testbed *tb;
	GPtrArray *procs; /* struct soak_proc, by role */
	GArray *core_faults; /* struct soak_span: faults of the core */
	uint32_t nr_core_faults; /* faults of the core in progress */
	GArray *unconfirmed; /* violations to confirm at the end */
	struct soak_clients *clients;
	struct soak_operators *operators;
	struct soak_faults *faults;
	struct soak_stats stats;
	uint32_t nr_violations;
};

int64_t soak_now_ms(void);
/** Returns true with a probability of @a percent. */
bool soak_chance(GRand *random, uint32_t percent);
/** Prints and counts a violation of a rule. */
void soak_violation(struct soak *soak, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
/**
 * Records a violation of a rule that holds only if no control replica had a
 * fault and the machine did not stall between @a from_us and now. This is known
 * only at the end of the run, when such violations are confirmed or dropped.
 */
void soak_violation_if_stable(struct soak *soak, int64_t from_us,
			      const char *format, ...) G_GNUC_PRINTF(3, 4);
/** Prints a step of the soak itself; processes have logs of their own. */
void soak_note(const char *format, ...) G_GNUC_PRINTF(1, 2);

/* ---- the processes of the site ---- */

void soak_site_start(struct soak *soak, const char *program);
void soak_site_free(struct soak *soak);
/**
 * Returns true if workers refuse tasks that don't fit, as the configuration
 * says; otherwise they start them. It depends on the seed.
 */
bool soak_site_is_guarded(const struct soak *soak);
/** Returns the label of a worker "i-NR"; each label has half of them. */
const char *soak_worker_label(const char *worker);
/** Returns the i-th process of the role, NULL past the last one. */
struct soak_proc *soak_proc_at(const struct soak *soak, enum soak_role role,
			       uint32_t i);
uint32_t soak_nr_procs(const struct soak *soak, enum soak_role role);
void soak_span_begin(GArray *spans);
void soak_span_end(GArray *spans);
/** Returns true if one of the spans overlaps [from_us, to_us]. */
bool soak_spans_overlap(const GArray *spans, int64_t from_us, int64_t to_us);
/** Returns for how long the machine held processes up since @a since_ms. */
uint32_t soak_site_stalled_ms(const struct soak *soak, int64_t since_ms);
/** Adds the times when the machine held processes up to the core's faults. */
void soak_site_add_stalls(struct soak *soak);
/** Returns for how long no control replica has had a fault, 0 during one. */
int64_t soak_core_fault_free_ms(const struct soak *soak);
/**
 * Returns true if no control replica had a fault between the two times, nor for
 * SOAK_CONTACT_MS before.
 */
bool soak_core_stable(const struct soak *soak, int64_t from_us, int64_t to_us);

/* ---- soak_faults.c ---- */

void soak_faults_start(struct soak *soak);
/** Ends all faults, restarts all processes and injects no further faults. */
void soak_faults_end(struct soak *soak);
/**
 * Returns true until the end of the first phase, in which workers are silent or
 * lost and nothing else has a fault.
 */
bool soak_faults_only_workers(const struct soak *soak);
/** Returns true while a process is paused, terminating or down. */
bool soak_faults_active(const struct soak *soak);
/**
 * Returns the longest time between soak_faults_start() and soak_faults_end() in
 * which the core had no fault. Limits that hold only while the core is stable
 * are judged in such times, besides the stable load at the end.
 */
uint32_t soak_faults_stable_ms(const struct soak *soak);
void soak_faults_free(struct soak *soak);

/* ---- soak_flow.c ---- */

struct soak_flow_kind {
	const char *name;
	uint32_t nr_steps;
	uint32_t nr_tasks; /* in each step */
	uint32_t cpu_millis;
	uint32_t memory_mib;
	uint32_t run_ms; /* 0: runs until cancelled */
	/* "fail" or "once", see executor_standin.c; NULL: "done" */
	const char *how;
	bool fills; /* its tasks are fillers: they use idle processors */
	uint32_t target_ms; /* tail latency of its serving tasks, 0: none */
	uint32_t max_per_worker; /* tasks of a step, 0: no limit */
	const char *label; /* that its workers must have, NULL: none */
	uint32_t weight; /* relative probability that a client submits it */
};

enum soak_flow_state {
	SOAK_UNKNOWN, /* no answer yet, or no clear one */
	SOAK_REJECTED, /* every attempt was answered with 429 or 503 */
	SOAK_ACCEPTED,
};

/** A submission with the answers that its clients received. */
struct soak_flow {
	char id[17];
	const struct soak_flow_kind *kind;
	enum soak_flow_state state;
	uint32_t nr_attempts;
	int64_t accepted_ms;
	int64_t cancel_sent_ms; /* first cancellation, 0: never cancelled */
	int64_t cancelled_us; /* its acknowledgement, 0: none */
	const char *shown; /* final state in an answer, NULL: none yet */
	int64_t final_us; /* time of that answer */
};

/** Returns the kind of lasting tasks for which each sound worker has room. */
const struct soak_flow_kind *soak_flow_steady_kind(void);
/** Returns a kind of submission, by its weight. */
const struct soak_flow_kind *soak_flow_draw_kind(GRand *random);
/** Returns the document of a submission, to be freed. */
char *soak_flow_text(const struct soak_flow *flow);

/* ---- soak_clients.c ---- */

void soak_clients_start(struct soak *soak);
/** Makes clients finish their open calls and retries and begin no new ones. */
void soak_clients_stop(struct soak *soak);
bool soak_clients_idle(const struct soak *soak);
/** Cancels all long-running submissions, repeating it until acknowledged. */
void soak_clients_cancel_lasting(struct soak *soak);
/**
 * Makes clients query all submissions without a final state; returns how many
 * there are.
 */
uint32_t soak_clients_poll(struct soak *soak);
/** Returns the submission with the id, NULL if there is none. */
struct soak_flow *soak_flow_find(const struct soak *soak, const char *id);
GPtrArray *soak_flows(const struct soak *soak);
void soak_clients_free(struct soak *soak);

/* ---- soak_operator.c ---- */

void soak_operators_start(struct soak *soak);
/** Makes operators finish their open orders and issue no new ones. */
void soak_operators_stop(struct soak *soak);
bool soak_operators_idle(const struct soak *soak);
/**
 * Returns 1 if the route is in all configuration versions that may be in force
 * between the two times, 0 if it is in none of them, -1 otherwise.
 */
int soak_route_expected(const struct soak *soak, uint32_t route,
			int64_t from_ms, int64_t to_ms);
/**
 * Checks that every replica shows the newest acknowledged version and that no
 * order waited longer than SOAK_ACK_MS while the control replicas were stable.
 */
void soak_operators_check_end(struct soak *soak);
/** Returns true if no task may start in the zone at @a t_us. */
bool soak_zone_is_out(const struct soak *soak, const char *zone, int64_t t_us);
/**
 * Returns true if any zone was out, or ordered out or in, between the two
 * times.
 */
bool soak_zones_changed(const struct soak *soak, int64_t from_us,
			int64_t to_us);
void soak_operators_free(struct soak *soak);

/* ---- soak_journal.c ---- */

/** Checks the workers' journals against the answers that clients received. */
void soak_journal_check(struct soak *soak);
/** Returns the number of running tasks of a submission; NULL: of all. */
uint32_t soak_journal_running(struct soak *soak, const char *id);

/**
 * Returns the numbers of lasting tasks without a limit for each worker that
 * run, by the workers' names.
 */
GHashTable *soak_journal_steady(struct soak *soak);

#endif /* SOAK_H */
