#ifndef TASK_JOURNAL_H
#define TASK_JOURNAL_H

/**
 * @file task_journal.h
 * Reads the journals of the stand-ins for the platform's workers into a list of
 * events, and checks the rules that concern one task at a time, and those that
 * concern what one worker runs at a time.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum task_event_kind {
	TASK_START,
	TASK_DONE,
	TASK_FAILED,
	TASK_ENDED, /* neither done nor failed: stopped, expired, killed */
	TASK_SETTLED, /* the agent has acknowledged an end as done */
	TASK_SETTLED_FAILED, /* the agent has acknowledged an end as failed */
};

struct task_event {
	int64_t t_us; /* monotonic clock */
	enum task_event_kind kind;
	bool late; /* start by a call that was carried out late */
	uint64_t run; /* number of the task's run */
	uint64_t born_ms; /* start time of the worker's incarnation */
	char *worker;
	char *task;
	const char *line; /* of the journal, which owns it */
};

struct task_journal {
	GPtrArray *lines; /* char *: the journals' lines, unchanged */
	GArray *events; /* struct task_event, ordered by time */
};

/** Reports a violation of the rule @a what by an event. */
typedef void task_violation_fn(void *ctx, const char *what,
			       const struct task_event *event);

/** Parses the lines of all journals and takes ownership of @a lines. */
struct task_journal *task_journal_new(GPtrArray *lines);
void task_journal_free(struct task_journal *journal);
/**
 * Returns the number of tasks that ended as done. Reports each task that runs
 * twice at the same time. Also reports each task that starts again after a run
 * ended as done, if that end was acknowledged before or after the new start.
 */
uint32_t task_journal_check(const struct task_journal *journal,
			    task_violation_fn *report, void *ctx);

/** What each task of a step uses, and where it may run. */
struct task_step {
	uint32_t cpu_millis; /* not counted for fillers */
	uint32_t memory_mib;
	bool fills;
	uint32_t max_per_worker; /* tasks of one occurrence, 0: no limit */
	const char *label; /* that its worker must have, NULL: none */
	bool lasts; /* its tasks run until they are cancelled */
};

/** What clients have submitted, and what each worker of the site offers. */
struct task_site {
	GHashTable *steps; /* workflow id -> GArray of struct task_step */
	uint32_t cpu_millis;
	uint32_t memory_mib;
	/* Returns the label of a worker, NULL: it has none. */
	const char *(*label_of)(const char *worker);
};

/**
 * Reports each start on a worker without the step's label, each start that
 * brings an incarnation of a worker over the step's limit of tasks, and each
 * that brings it over its processors or memory. Starts that were carried out
 * late count like others; runs that are being stopped count until their end.
 * Tasks of workflows that aren't in @a site are left out.
 */
void task_journal_check_workers(const struct task_journal *journal,
				const struct task_site *site,
				task_violation_fn *report, void *ctx);

#define TASK_LOST_AFTER_MS 6000 /* after the last run, until time counts */
#define TASK_LOST_MS 3000 /* without a run */

/** The times that task_journal_check_lost() judges. */
struct task_watch {
	GPtrArray *workers; /* char *: the names of all workers */
	int64_t until_us; /* end of the time that is judged */
	/* Returns true if the task was to run, and the core had no fault. */
	bool (*is_judged)(void *ctx, const char *task, int64_t from_us,
			  int64_t to_us);
	/* Returns true if the worker and its agent had no fault. */
	bool (*is_sound)(void *ctx, const char *worker, int64_t from_us,
			 int64_t to_us);
};

/**
 * Reports each lasting task that has no run for TASK_LOST_MS, counted from
 * TASK_LOST_AFTER_MS after the end of its last run, while this time is judged
 * and two sound workers have room for the task throughout. Returns the number
 * of ends of runs for which the first such time is judged.
 */
uint32_t task_journal_check_lost(const struct task_journal *journal,
				 const struct task_site *site,
				 const struct task_watch *watch,
				 task_violation_fn *report, void *ctx);

#endif /* TASK_JOURNAL_H */
