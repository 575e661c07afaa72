#include "admission.h"

#include <string.h>

/* What was measured in one second. */
struct admission_second {
	uint64_t number; /* of the second, 0: nothing was measured */
	uint64_t capacity_millis; /* the largest value, 0: no sample */
	uint64_t used_core_ms; /* by runs that ended */
	uint64_t done_core_ms; /* expected of them, if they were done */
	uint32_t nr_runs;
};

/* The last seconds of the tasks of one kind of a service, a ring buffer. */
struct admission_meter {
	struct admission_second seconds[ADMISSION_WINDOW_S];
};

struct admission_service {
	struct admission_meter meters[ADMISSION_KINDS];
};

/* A refused submission whose caller may come back. */
struct admission_waiting {
	enum admission_kind kind;
	char *service;
	uint64_t work_core_ms;
	uint64_t retry_us; /* when it may come again */
};

/* An accepted workflow that has not ended. */
struct admission_check {
	char *queue;
	uint64_t work_core_ms;
	uint64_t due_us;
	uint64_t accepted_us;
	uint32_t nr_like; /* submissions like it that were refused since */
};

struct admission {
	uint64_t began_us;
	GHashTable *services; /* name -> struct admission_service * */
	GHashTable *waiting; /* id -> struct admission_waiting * */
	GHashTable *accepted; /* id -> struct admission_check * */
};

static void admission_waiting_free(void *data)
{
	struct admission_waiting *waiting = data;

	g_free(waiting->service);
	g_free(waiting);
}

static void admission_check_free(void *data)
{
	struct admission_check *check = data;

	g_free(check->queue);
	g_free(check);
}

struct admission *admission_new(uint64_t now_us)
{
	struct admission *admission = g_new0(struct admission, 1);

	admission->began_us = now_us;
	admission->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	admission->waiting = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, admission_waiting_free);
	admission->accepted = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, admission_check_free);
	return admission;
}

void admission_free(struct admission *admission)
{
	if (!admission)
		return;
	g_hash_table_unref(admission->services);
	g_hash_table_unref(admission->waiting);
	g_hash_table_unref(admission->accepted);
	g_free(admission);
}

/* ---- measurements ---- */

static struct admission_meter *admission_meter(struct admission *admission,
					       const char *service,
					       enum admission_kind kind)
{
	struct admission_service *known =
		g_hash_table_lookup(admission->services, service);

	if (!known) {
		known = g_new0(struct admission_service, 1);
		g_hash_table_insert(admission->services, g_strdup(service),
				    known);
	}
	return &known->meters[kind];
}

static uint64_t admission_second_nr(uint64_t now_us)
{
	return now_us / 1000000 + 1;
}

static struct admission_second *meter_second(struct admission_meter *meter,
					     uint64_t now_us)
{
	uint64_t number = admission_second_nr(now_us);
	struct admission_second *second =
		&meter->seconds[number % ADMISSION_WINDOW_S];

	if (second->number != number)
		*second = (struct admission_second){ .number = number };
	return second;
}

void admission_sample(struct admission *admission, const char *service,
		      enum admission_kind kind, uint64_t capacity_millis,
		      uint64_t now_us)
{
	struct admission_second *second =
		meter_second(admission_meter(admission, service, kind), now_us);

	second->capacity_millis = MAX(second->capacity_millis, capacity_millis);
}

void admission_ran(struct admission *admission, const char *service,
		   enum admission_kind kind, uint64_t used_core_ms,
		   uint64_t done_core_ms, uint64_t now_us)
{
	struct admission_second *second =
		meter_second(admission_meter(admission, service, kind), now_us);

	second->used_core_ms += used_core_ms;
	second->done_core_ms += done_core_ms;
	second->nr_runs++;
}

/* Adds up the window: the largest capacity, and the sums of the runs. */
static struct admission_second meter_sum(const struct admission_meter *meter,
					 uint64_t now_us, uint32_t *nr_sampled)
{
	uint64_t number = admission_second_nr(now_us);
	struct admission_second sum = { 0 };

	*nr_sampled = 0;
	for (uint32_t i = 0; i < ADMISSION_WINDOW_S; i++) {
		const struct admission_second *second = &meter->seconds[i];

		if (second->number + ADMISSION_WINDOW_S <= number)
			continue;
		*nr_sampled += second->capacity_millis > 0;
		sum.capacity_millis =
			MAX(sum.capacity_millis, second->capacity_millis);
		sum.used_core_ms += second->used_core_ms;
		sum.done_core_ms += second->done_core_ms;
		sum.nr_runs += second->nr_runs;
	}
	return sum;
}

/*
 * Returns the expected work that is done per processor time used, in permille.
 * It is below 1000 if runs are stopped and begin again, are throttled, or take
 * longer than estimated.
 */
static uint32_t meter_yield_permille(const struct admission_second *sum)
{
	uint64_t permille =
		sum->done_core_ms * 1000 / MAX(sum->used_core_ms, 1);

	if (sum->nr_runs < ADMISSION_MIN_RUNS)
		return (uint32_t)CLAMP(permille, 1000,
				       ADMISSION_YIELD_MAX_PERMILLE);
	return (uint32_t)CLAMP(permille, ADMISSION_YIELD_MIN_PERMILLE,
			       ADMISSION_YIELD_MAX_PERMILLE);
}

/* ---- the decision ---- */

static uint64_t work_ms(uint64_t work_core_ms, uint64_t capacity_millis)
{
	return work_core_ms * 1000 / MAX(capacity_millis, 1);
}

/*
 * Returns the work that is done before the submission's own. A workflow that
 * loses all value before its turn falls behind, so it doesn't count.
 */
static uint64_t admission_ahead_core_ms(const struct admission_request *request,
					uint64_t capacity_millis)
{
	uint64_t done_core_ms = request->done_core_ms;
	uint64_t sum_core_ms = 0;

	for (uint32_t i = 0; i < request->nr_ahead; i++) {
		const struct admission_ahead *ahead = &request->ahead[i];
		uint64_t done = MIN(done_core_ms, ahead->work_core_ms);
		uint64_t work = ahead->work_core_ms - done;

		done_core_ms -= done;
		if (work_ms(sum_core_ms + work, capacity_millis) <=
		    ahead->left_ms)
			sum_core_ms += work;
	}
	return sum_core_ms;
}

/* Forgets callers that have not come back in time. */
static void admission_expire(struct admission *admission, uint64_t now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, admission->waiting);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct admission_waiting *waiting = value;

		if (now_us > waiting->retry_us + ADMISSION_RETURN_MS * 1000ull)
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * Returns the work of the waiting callers that go before the submission: those
 * with no more work.
 */
static uint64_t admission_waiting_core_ms(const struct admission *admission,
					  const struct admission_request *own)
{
	uint64_t sum_core_ms = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, admission->waiting);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct admission_waiting *waiting = value;

		if (waiting->kind == own->kind &&
		    waiting->work_core_ms <= own->work_core_ms &&
		    !strcmp(waiting->service, own->service))
			sum_core_ms += waiting->work_core_ms;
	}
	return sum_core_ms;
}

/*
 * Returns the time after which the submission could be admitted: by then the
 * work beyond what fits in its limit is done, and so is the work of the waiting
 * callers that go first. Times beyond the maximum are spread over its last
 * quarter.
 */
static uint64_t admission_retry_ms(const struct admission *admission,
				   const struct admission_request *request,
				   const struct admission_answer *answer,
				   uint64_t assumed_millis)
{
	uint64_t fits_core_ms = request->limit_ms * assumed_millis / 1000;
	uint64_t sum_core_ms = answer->ahead_core_ms + request->work_core_ms +
			       admission_waiting_core_ms(admission, request);
	uint64_t retry_ms =
		work_ms(sum_core_ms - MIN(sum_core_ms, fits_core_ms),
			answer->capacity_millis);

	if (retry_ms > ADMISSION_RETRY_MAX_MS)
		retry_ms =
			ADMISSION_RETRY_MAX_MS -
			g_str_hash(request->id) % (ADMISSION_RETRY_MAX_MS / 4);
	return MAX(MAX(retry_ms, ADMISSION_RETRY_MIN_MS), request->copies_ms);
}

/*
 * Counts the refusal for the workflow like it that was accepted last, whose
 * outcome shows whether the refused one could have completed in time.
 */
static void admission_note_like(struct admission *admission,
				const struct admission_request *request,
				uint64_t now_us)
{
	struct admission_check *latest = NULL;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, admission->accepted);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct admission_check *check = value;
		uint64_t least =
			MIN(check->work_core_ms, request->work_core_ms);
		uint64_t most = MAX(check->work_core_ms, request->work_core_ms);

		if (strcmp(check->queue, request->queue) != 0 ||
		    now_us - check->accepted_us > ADMISSION_LIKE_MS * 1000ull ||
		    (most - least) * 100 > most * ADMISSION_LIKE_PERCENT)
			continue;
		if (!latest || check->accepted_us > latest->accepted_us)
			latest = check;
	}
	if (latest)
		latest->nr_like++;
}

static void admission_refuse(struct admission *admission,
			     const struct admission_request *request,
			     uint64_t now_us, uint64_t retry_after_ms)
{
	struct admission_waiting *waiting = g_new0(struct admission_waiting, 1);

	waiting->kind = request->kind;
	waiting->service = g_strdup(request->service);
	waiting->work_core_ms = request->work_core_ms;
	waiting->retry_us = now_us + retry_after_ms * 1000;
	g_hash_table_replace(admission->waiting, g_strdup(request->id),
			     waiting);
	admission_note_like(admission, request, now_us);
}

/* Returns true if the id was refused and its retry time has not come. */
static bool admission_is_early(const struct admission *admission,
			       const struct admission_request *request,
			       uint64_t now_us, struct admission_answer *answer)
{
	const struct admission_waiting *waiting =
		g_hash_table_lookup(admission->waiting, request->id);

	if (!waiting ||
	    now_us + ADMISSION_EARLY_MS * 1000ull >= waiting->retry_us)
		return false;
	answer->verdict = ADMISSION_EARLY;
	answer->retry_after_ms = (waiting->retry_us - now_us) / 1000 + 1;
	return true;
}

void admission_decide(struct admission *admission,
		      const struct admission_request *request, uint64_t now_us,
		      struct admission_answer *answer)
{
	struct admission_meter *meter =
		admission_meter(admission, request->service, request->kind);
	uint64_t measured_us = now_us - admission->began_us;
	struct admission_second sum;
	uint64_t assumed_millis;
	uint32_t nr_sampled;

	*answer = (struct admission_answer){ .verdict = ADMISSION_ADMIT };
	admission_sample(admission, request->service, request->kind,
			 request->running_millis + request->free_millis,
			 now_us);
	sum = meter_sum(meter, now_us, &nr_sampled);
	admission_expire(admission, now_us);
	if (request->proposed)
		return;
	if (admission_is_early(admission, request, now_us, answer))
		goto out;
	/* It counts no longer as waiting, whatever is decided now. */
	g_hash_table_remove(admission->waiting, request->id);
	answer->yield_permille = meter_yield_permille(&sum);
	answer->capacity_millis =
		MAX(sum.capacity_millis * answer->yield_permille / 1000,
		    request->free_millis);
	assumed_millis = answer->capacity_millis *
			 (1000 + request->margin_permille) / 1000;
	answer->ahead_core_ms =
		admission_ahead_core_ms(request, assumed_millis);
	answer->finish_ms = work_ms(
		answer->ahead_core_ms + request->work_core_ms, assumed_millis);
	/* The estimate of its own work alone is too uncertain for a refusal. */
	if (answer->finish_ms <= request->limit_ms || !answer->ahead_core_ms)
		goto out;
	if (measured_us < ADMISSION_WINDOW_S * 1000000ull ||
	    nr_sampled < ADMISSION_MIN_SAMPLED_S ||
	    g_hash_table_size(admission->waiting) >= ADMISSION_WAITING_MAX) {
		answer->verdict = ADMISSION_MEASURING;
		goto out;
	}
	answer->verdict = ADMISSION_LATE;
	answer->retry_after_ms =
		admission_retry_ms(admission, request, answer, assumed_millis);
	admission_refuse(admission, request, now_us, answer->retry_after_ms);
out:
	answer->nr_waiting = g_hash_table_size(admission->waiting);
}

/* ---- the check of estimates ---- */

void admission_accept(struct admission *admission,
		      const struct admission_accepted *accepted,
		      uint64_t now_us)
{
	struct admission_check *check;

	g_hash_table_remove(admission->waiting, accepted->id);
	if (g_hash_table_size(admission->accepted) >= ADMISSION_ACCEPTED_MAX)
		return;
	check = g_new0(struct admission_check, 1);
	check->queue = g_strdup(accepted->queue);
	check->work_core_ms = accepted->work_core_ms;
	check->due_us = accepted->due_us;
	check->accepted_us = now_us;
	g_hash_table_replace(admission->accepted, g_strdup(accepted->id),
			     check);
}

struct admission_outcome admission_end(struct admission *admission,
				       const char *id, bool completed,
				       uint64_t now_us)
{
	const struct admission_check *check =
		g_hash_table_lookup(admission->accepted, id);
	struct admission_outcome outcome = { 0 };

	if (check && completed) {
		outcome.late = now_us > check->due_us;
		outcome.nr_spare = outcome.late ? 0 : check->nr_like;
	}
	g_hash_table_remove(admission->accepted, id);
	return outcome;
}

const char *admission_verdict_name(enum admission_verdict verdict)
{
	static const char *const names[] = {
		[ADMISSION_ADMIT] = "admit",
		[ADMISSION_MEASURING] = "measuring",
		[ADMISSION_LATE] = "late",
		[ADMISSION_EARLY] = "early",
	};

	return (uint32_t)verdict < G_N_ELEMENTS(names) ? names[verdict] :
							 "unknown";
}
