#ifndef ADMISSION_H
#define ADMISSION_H

/**
 * @file admission.h
 * Admission control: decides whether a workflow is accepted or refused, because
 * it can't complete before its result has lost all value. A refused caller gets
 * a time at which to submit again. Estimates are checked against what became of
 * the accepted workflows. Work is in core-milliseconds, as expected of the
 * tasks; capacity in thousandths of a processor.
 *
 * Fillers use processors that other tasks leave idle, so the two kinds of tasks
 * have capacities of their own.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tunables.h"

/** Kinds of tasks with a capacity of their own. */
enum admission_kind {
	ADMISSION_OTHERS = 0, /* tasks that reserve processors */
	ADMISSION_FILLERS = 1,
	ADMISSION_KINDS = 2,
};

/** A workflow that is placed before the submission. */
struct admission_ahead {
	uint64_t work_core_ms; /* that remains */
	/** Time until its result has lost all value, UINT64_MAX: never. */
	uint64_t left_ms;
};

/** A submission, and what is ahead of it among tasks of the same kind. */
struct admission_request {
	const char *id;
	const char *queue; /* name of its queue, unique in the site */
	const char *service;
	enum admission_kind kind;
	uint64_t work_core_ms;
	uint64_t limit_ms; /* after this time its result has no value */
	/** How long earlier copies of the submission may still arrive. */
	uint64_t copies_ms;
	/** In the order of placement. */
	const struct admission_ahead *ahead;
	uint32_t nr_ahead;
	/** What runs of workflows ahead have done of their remaining work. */
	uint64_t done_core_ms;
	uint64_t running_millis; /* processors of runs of this kind */
	uint64_t free_millis; /* on which more of them could start */
	/**
	 * By how much more capacity than measured is assumed, so that a
	 * capacity that is estimated too low doesn't cause a refusal.
	 */
	uint32_t margin_permille;
	bool proposed; /* an earlier copy of it is proposed */
};

enum admission_verdict {
	ADMISSION_ADMIT = 0,
	/**
	 * Admitted although late: too little is measured yet, or the number of
	 * waiting callers is at its limit.
	 */
	ADMISSION_MEASURING = 1,
	ADMISSION_LATE = 2, /* refused: can't complete in time */
	/** Refused: it was refused before, and came back too early. */
	ADMISSION_EARLY = 3,
};

struct admission_answer {
	enum admission_verdict verdict;
	uint64_t retry_after_ms; /* ADMISSION_LATE and ADMISSION_EARLY */
	uint64_t ahead_core_ms; /* work that is done before the submission's */
	/** Expected work done per processor time used, in the last seconds. */
	uint32_t yield_permille;
	uint64_t capacity_millis; /* measured, without the margin */
	uint64_t finish_ms; /* expected time until it is complete */
	uint32_t nr_waiting; /* refused callers that may still come back */
};

/** An accepted workflow. */
struct admission_accepted {
	const char *id;
	const char *queue;
	uint64_t work_core_ms; /* of its tasks of both kinds */
	uint64_t due_us; /* end of its objective */
};

/** How an accepted workflow shows whether decisions were right. */
struct admission_outcome {
	bool late; /* completed after its objective */
	/**
	 * Refused submissions like it, which came shortly after it, although it
	 * completed within its objective.
	 */
	uint32_t nr_spare;
};

struct admission;

struct admission *admission_new(uint64_t now_us);
void admission_free(struct admission *admission);

/** Records the capacity for tasks of the kind, as in struct admission_request.
 */
void admission_sample(struct admission *admission, const char *service,
		      enum admission_kind kind, uint64_t capacity_millis,
		      uint64_t now_us);
/**
 * Records a run that has ended: the processor time it used, and the work that
 * was expected of it, 0 if its task isn't done.
 */
void admission_ran(struct admission *admission, const char *service,
		   enum admission_kind kind, uint64_t used_core_ms,
		   uint64_t done_core_ms, uint64_t now_us);
/**
 * Decides about a submission for one kind of its tasks. A refusal is recorded,
 * so that the same id is refused until its retry time.
 */
void admission_decide(struct admission *admission,
		      const struct admission_request *request, uint64_t now_us,
		      struct admission_answer *answer);

void admission_accept(struct admission *admission,
		      const struct admission_accepted *accepted,
		      uint64_t now_us);
/** Returns what the end of a workflow shows; @a completed: its tasks are done.
 */
struct admission_outcome admission_end(struct admission *admission,
				       const char *id, bool completed,
				       uint64_t now_us);

/** Returns the name of an enum admission_verdict for logs. */
const char *admission_verdict_name(enum admission_verdict verdict);

#endif /* ADMISSION_H */
