/**
 * @file test_admission.c
 * Submissions that are refused because they can't complete in time: the
 * decision, the time at which a refused caller may come back, the check of
 * estimates, and refusals by a leader.
 */

#include <string.h>

#include "admission.h"
#include "control_flow_impl.h"
#include "control_impl.h"
#include "flow_rules.h"
#include "flow_world.h"
#include "load_policy.h"
#include "suite.h"

/* ---- the decision ---- */

#define QUEUE "shop /q/"
#define CAPACITY_MILLIS 32000
#define WORK_CORE_MS 40000 /* 1.25 s of the whole capacity */
#define LIMIT_MS 6000
#define QUEUE_MAX 64
#define TERM_US UINT64_C(1000000000) /* when the leader's term began */
#define START_US (TERM_US + ADMISSION_WINDOW_S * UINT64_C(1000000))

/* A queue of equal heavy workflows. */
struct burst {
	struct admission *admission;
	uint64_t now_us;
	uint64_t capacity_millis;
	struct admission_ahead ahead[QUEUE_MAX];
	uint32_t nr_ahead;
	uint32_t nr_ids;
};

/* Measures the capacity in each second until START_US. */
static void burst_begin(struct burst *burst)
{
	*burst = (struct burst){ .capacity_millis = CAPACITY_MILLIS };
	burst->admission = admission_new(TERM_US);
	for (uint64_t us = TERM_US; us < START_US; us += 500000)
		admission_sample(burst->admission, "svc", ADMISSION_FILLERS,
				 CAPACITY_MILLIS, us);
	burst->now_us = START_US;
}

static struct admission_request burst_request(const struct burst *burst,
					      const char *id)
{
	return (struct admission_request){
		.id = id,
		.queue = QUEUE,
		.service = "svc",
		.kind = ADMISSION_FILLERS,
		.work_core_ms = WORK_CORE_MS,
		.limit_ms = LIMIT_MS,
		.ahead = burst->ahead,
		.nr_ahead = burst->nr_ahead,
		.running_millis = burst->capacity_millis,
		.margin_permille = ADMISSION_MARGIN_PERMILLE,
	};
}

static struct admission_answer
burst_decide(struct burst *burst, const struct admission_request *request)
{
	struct admission_answer answer;

	admission_decide(burst->admission, request, burst->now_us, &answer);
	return answer;
}

/* Submits one workflow more; returns the time of a refusal, or 0. */
static uint64_t burst_submit(struct burst *burst)
{
	char id[NAME_BYTES];
	struct admission_request request;
	struct admission_answer answer;

	g_snprintf(id, sizeof(id), "w%u", burst->nr_ids++);
	request = burst_request(burst, id);
	answer = burst_decide(burst, &request);
	if (!answer.retry_after_ms)
		burst->ahead[burst->nr_ahead++] = (struct admission_ahead){
			.work_core_ms = WORK_CORE_MS,
			.left_ms = LIMIT_MS,
		};
	return answer.retry_after_ms;
}

/* Submits until one is refused. */
static void burst_fill(struct burst *burst)
{
	while (!burst_submit(burst))
		ck_assert_uint_lt(burst->nr_ahead, QUEUE_MAX);
}

/*
 * The load: a burst of heavy submissions. Guards against refusals of what fits
 * in its limit, even with half as much capacity again, and against accepting
 * what can't fit.
 */
START_TEST(test_burst_of_heavy_submissions)
{
	uint64_t fits = LIMIT_MS * CAPACITY_MILLIS / 1000 / WORK_CORE_MS;
	uint64_t most = fits * (1000 + ADMISSION_MARGIN_PERMILLE) / 1000 + 1;
	struct burst burst;

	burst_begin(&burst);
	burst_fill(&burst);
	ck_assert_uint_gt(burst.nr_ahead, fits);
	ck_assert_uint_le(burst.nr_ahead, most);
	for (uint32_t i = 0; i < 10; i++)
		ck_assert_uint_ge(burst_submit(&burst), ADMISSION_RETRY_MIN_MS);
	admission_free(burst.admission);
}
END_TEST

/*
 * The load: the capacity is halved, as a zone was lost. Guards against a
 * refusal while a loss may be a short interruption, and against accepting by
 * the former capacity for good.
 */
START_TEST(test_capacity_halved)
{
	struct burst burst;
	uint32_t before;

	burst_begin(&burst);
	burst_fill(&burst);
	before = burst.nr_ahead;
	/* One fewer than fits with the full capacity. */
	burst.nr_ahead--;
	burst.capacity_millis /= 2;
	ck_assert_uint_eq(burst_submit(&burst), 0);
	burst.nr_ahead--;
	for (uint32_t i = 0; i <= ADMISSION_WINDOW_S; i++) {
		burst.now_us += 1000000;
		admission_sample(burst.admission, "svc", ADMISSION_FILLERS,
				 burst.capacity_millis, burst.now_us);
	}
	ck_assert_uint_ge(burst_submit(&burst), ADMISSION_RETRY_MIN_MS);
	burst.nr_ahead = 0;
	burst_fill(&burst);
	ck_assert_uint_le(burst.nr_ahead, before / 2 + 1);
	admission_free(burst.admission);
}
END_TEST

/*
 * The load: fillers that are stopped and begin again, so that half of the
 * processor time is lost. Guards against processors in use that count as work
 * done, and against a few odd runs that decide.
 */
START_TEST(test_yield_of_runs)
{
	struct burst burst;
	uint32_t before;

	burst_begin(&burst);
	burst_fill(&burst);
	before = burst.nr_ahead;
	for (uint32_t i = 0; i < ADMISSION_MIN_RUNS / 2; i++)
		admission_ran(burst.admission, "svc", ADMISSION_FILLERS, 2000,
			      0, burst.now_us);
	burst.nr_ahead = 0;
	burst_fill(&burst);
	ck_assert_uint_eq(burst.nr_ahead, before);
	for (uint32_t i = 0; i < ADMISSION_MIN_RUNS / 2; i++)
		admission_ran(burst.admission, "svc", ADMISSION_FILLERS, 2000,
			      4000, burst.now_us);
	burst.nr_ahead = 0;
	burst_fill(&burst);
	ck_assert_uint_eq(burst.nr_ahead, before);
	for (uint32_t i = 0; i < ADMISSION_MIN_RUNS; i++)
		admission_ran(burst.admission, "svc", ADMISSION_FILLERS, 2000,
			      0, burst.now_us);
	burst.nr_ahead = 0;
	burst_fill(&burst);
	ck_assert_uint_le(burst.nr_ahead, before / 2 + 1);
	admission_free(burst.admission);
}
END_TEST

/*
 * The load: heavy workflows that have waited until their results have no value.
 * Guards against refusals for work that falls behind the submission.
 */
START_TEST(test_abandoned_work_does_not_count)
{
	struct burst burst;

	burst_begin(&burst);
	for (uint32_t i = 0; i < QUEUE_MAX / 2; i++)
		burst.ahead[burst.nr_ahead++] = (struct admission_ahead){
			.work_core_ms = WORK_CORE_MS,
		};
	ck_assert_uint_eq(burst_submit(&burst), 0);
	admission_free(burst.admission);
}
END_TEST

/*
 * The load: one submission larger than fits, with nothing ahead. Guards against
 * a refusal by the estimate of a single workflow, which may be far off.
 */
START_TEST(test_nothing_ahead)
{
	struct burst burst;
	struct admission_request request;

	burst_begin(&burst);
	request = burst_request(&burst, "huge");
	request.work_core_ms = UINT64_C(100) * WORK_CORE_MS;
	ck_assert_uint_eq(burst_decide(&burst, &request).retry_after_ms, 0);
	admission_free(burst.admission);
}
END_TEST

/*
 * The failure: a change of the leader. Guards against refusals by a leader that
 * has measured too little.
 */
START_TEST(test_new_leader_measures)
{
	struct burst burst;
	struct admission_request request;
	uint64_t before_us = START_US - 1000;

	burst_begin(&burst);
	for (uint32_t i = 0; i < 20; i++)
		burst.ahead[burst.nr_ahead++] = (struct admission_ahead){
			.work_core_ms = WORK_CORE_MS,
			.left_ms = LIMIT_MS,
		};
	request = burst_request(&burst, "a");
	burst.now_us = before_us;
	ck_assert_int_eq(burst_decide(&burst, &request).verdict,
			 ADMISSION_MEASURING);
	burst.now_us = START_US;
	ck_assert_int_eq(burst_decide(&burst, &request).verdict,
			 ADMISSION_LATE);
	/* A pause of all measurements: the first one isn't enough. */
	burst.now_us += 60 * UINT64_C(1000000);
	request.id = "b";
	ck_assert_int_eq(burst_decide(&burst, &request).verdict,
			 ADMISSION_MEASURING);
	admission_free(burst.admission);
}
END_TEST

/*
 * The load: many refused callers. Guards against callers that all come back at
 * once, and against small workflows that wait for large ones.
 */
START_TEST(test_refused_callers_are_spread)
{
	struct burst burst;
	struct admission_request small;
	uint64_t last_ms = 0;
	uint64_t first_ms;

	burst_begin(&burst);
	burst_fill(&burst);
	for (uint32_t i = 0; i < 12; i++) {
		uint64_t retry_ms = burst_submit(&burst);

		/* Each takes 1.25 s once the minimum has passed. */
		if (last_ms > ADMISSION_RETRY_MIN_MS)
			ck_assert_uint_ge(retry_ms, last_ms + 1000);
		last_ms = retry_ms;
	}
	small = burst_request(&burst, "small");
	small.work_core_ms = WORK_CORE_MS / 10;
	/* It fits less than a full one: the queue is longer. */
	burst.ahead[burst.nr_ahead] = burst.ahead[0];
	small.nr_ahead = ++burst.nr_ahead;
	for (uint32_t i = 0; i < burst.nr_ahead; i++)
		burst.ahead[i].left_ms = UINT64_MAX;
	first_ms = burst_decide(&burst, &small).retry_after_ms;
	ck_assert_uint_ge(first_ms, ADMISSION_RETRY_MIN_MS);
	ck_assert_uint_lt(first_ms, last_ms / 2);
	/* However many come, a time is bounded. */
	for (uint32_t i = 0; i < 100; i++) {
		last_ms = burst_submit(&burst);
		ck_assert_uint_le(last_ms, ADMISSION_RETRY_MAX_MS);
	}
	ck_assert_uint_ge(last_ms, UINT64_C(3) * ADMISSION_RETRY_MAX_MS / 4);
	admission_free(burst.admission);
}
END_TEST

/*
 * The failure: copies of a call that arrive late. Guards against a submission
 * that runs after its refusal, because a delayed copy is accepted, and against
 * a refusal of one whose earlier copy is proposed.
 */
START_TEST(test_copies_of_refused_submission)
{
	struct burst burst;
	struct admission_request request;
	struct admission_answer answer;

	burst_begin(&burst);
	burst_fill(&burst);
	request = burst_request(&burst, "a");
	request.proposed = true;
	ck_assert_uint_eq(burst_decide(&burst, &request).retry_after_ms, 0);
	request.proposed = false;
	/* A caller that waits for 10 s. */
	request.copies_ms = 6000;
	answer = burst_decide(&burst, &request);
	ck_assert_int_eq(answer.verdict, ADMISSION_LATE);
	ck_assert_uint_eq(answer.retry_after_ms, request.copies_ms);
	/* All work ahead is gone, but the caller was told that it never runs.
	 */
	request.nr_ahead = 0;
	burst.now_us += 1000000;
	ck_assert_int_eq(burst_decide(&burst, &request).verdict,
			 ADMISSION_EARLY);
	burst.now_us += (answer.retry_after_ms - 1000) * 1000;
	ck_assert_int_eq(burst_decide(&burst, &request).verdict,
			 ADMISSION_ADMIT);
	admission_free(burst.admission);
}
END_TEST

/*
 * The load: a burst whose work takes less time than estimated. Guards against
 * wrong refusals that nobody sees, and against late ones.
 */
START_TEST(test_estimates_are_checked)
{
	struct admission_accepted good = { "good", QUEUE, WORK_CORE_MS,
					   START_US + 1000000 };
	struct admission_accepted late = { "late", QUEUE,
					   UINT64_C(2) * WORK_CORE_MS,
					   START_US + 1000000 };
	struct admission_outcome outcome;
	struct burst burst;

	burst_begin(&burst);
	admission_accept(burst.admission, &good, burst.now_us);
	admission_accept(burst.admission, &late, burst.now_us);
	burst_fill(&burst);
	burst_submit(&burst);
	outcome = admission_end(burst.admission, "good", true, START_US + 1);
	ck_assert(!outcome.late);
	ck_assert_uint_eq(outcome.nr_spare, 2);
	outcome = admission_end(burst.admission, "late", true,
				START_US + 1000001);
	ck_assert(outcome.late);
	ck_assert_uint_eq(outcome.nr_spare, 0);
	outcome = admission_end(burst.admission, "good", true, START_US + 2);
	ck_assert_uint_eq(outcome.nr_spare, 0);
	admission_free(burst.admission);
}
END_TEST

/* Guards against a caller that is told to come back too early. */
START_TEST(test_retry_after_is_rounded_up)
{
	static const uint32_t cases[][2] = {
		{ 0, 0 },
		{ 1, 1 },
		{ 999, 1 },
		{ 1000, 1 },
		{ 1001, 2 },
		{ 30000, 30 },
		{ UINT32_MAX, 4294968 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct flow_reply reply = { .retry_after_ms = cases[i][0] };

		ck_assert_uint_eq(flow_retry_after_s(&reply), cases[i][1]);
	}
}
END_TEST

/* ---- a leader ---- */

#define HEAVY_MS 500
#define HEAVY_INTERVAL_MS 100

static struct flow_step heavy_step(void)
{
	struct flow_step step = { .count = 20,
				  .cpu_millis = 4000,
				  .memory_mib = 100,
				  .estimate_ms = HEAVY_MS,
				  .filler = true };

	TEXT_SET(step.image, "f");
	return step;
}

static struct flow_world *heavy_world(uint64_t seed)
{
	struct flow_world *fw = flow_world_new(seed);

	flow_world_contend(fw);
	fw->run_ms = HEAVY_MS;
	fw->overcommitted = true;
	/* A new leader measures first. */
	flow_world_run_ms(fw, ADMISSION_WINDOW_S * 1000ull);
	return fw;
}

static enum result submit_heavy(struct flow_world *fw, const char *id)
{
	struct flow_step step = heavy_step();

	return flow_world_submit(fw, id, &step, 1);
}

/*
 * Submits @a nr heavy workflows, HEAVY_INTERVAL_MS apart; returns how many are
 * refused. The last of these is written to @a refused, of NAME_BYTES bytes.
 */
static uint32_t submit_burst(struct flow_world *fw, const char *prefix,
			     uint32_t nr, char *refused)
{
	uint32_t nr_refused = 0;
	char id[NAME_BYTES];

	for (uint32_t i = 0; i < nr; i++) {
		enum result result;

		g_snprintf(id, sizeof(id), "%s%u", prefix, i);
		result = submit_heavy(fw, id);
		if (result == RESULT_NOT_IN_TIME) {
			nr_refused++;
			text_set(refused, NAME_BYTES, id);
		} else {
			ck_assert_int_eq(result, RESULT_OK);
		}
		flow_world_run_ms(fw, HEAVY_INTERVAL_MS);
	}
	return nr_refused;
}

static enum result state_of(struct flow_world *fw, const char *id)
{
	char path[PATH_BYTES];

	g_snprintf(path, sizeof(path), "/q/%s", id);
	return flow_world_call(fw, FLOW_CALL_STATE, path, NULL).result;
}

static void kill_leader(struct flow_world *fw)
{
	world_kill_control(world_leader_host(fw->base));
}

/*
 * The load: a burst of heavy submissions. Guards against a refused workflow
 * with a record, which would run, and against one that is refused for ever.
 */
START_TEST(test_leader_refuses_burst)
{
	struct flow_world *fw = heavy_world(51);
	char refused[NAME_BYTES] = "";
	uint32_t retry_after_ms;

	ck_assert_uint_gt(submit_burst(fw, "a", 30, refused), 0);
	ck_assert(sim_log_has(fw->base->sim, "*event=admission*reason=late*"));
	ck_assert_int_eq(state_of(fw, refused), RESULT_UNKNOWN_OBJECT);
	ck_assert_int_eq(submit_heavy(fw, refused), RESULT_NOT_IN_TIME);
	retry_after_ms = fw->reply.retry_after_ms;
	ck_assert_uint_gt(retry_after_ms, 0);
	ck_assert_uint_le(retry_after_ms, ADMISSION_RETRY_MAX_MS);
	flow_world_run_ms(fw, retry_after_ms);
	ck_assert_int_eq(submit_heavy(fw, refused), RESULT_OK);
	ck_assert(flow_world_wait(fw, refused, FLOW_COMPLETED, 20000));
	flow_world_free(fw);
}
END_TEST

/* Returns a counter of the leader. */
static uint64_t leader_count(const struct flow_world *fw, const char *name)
{
	return counter_get(
		sim_node(world_leader_host(fw->base)->machine)->counters, name);
}

/*
 * The load: heavy workflows that use four fifths of the capacity, for a minute.
 * Guards against refusals while there is enough capacity.
 */
START_TEST(test_steady_load_is_accepted)
{
	struct flow_world *fw = heavy_world(57);
	char id[NAME_BYTES];

	for (uint32_t i = 0; i < 40; i++) {
		g_snprintf(id, sizeof(id), "a%u", i);
		ck_assert_int_eq(submit_heavy(fw, id), RESULT_OK);
		flow_world_run_ms(fw, 1500);
	}
	flow_world_run_ms(fw, 5000);
	ck_assert_uint_eq(leader_count(fw, "admission_late"), 0);
	ck_assert_uint_eq(leader_count(fw, "admission_spare"), 0);
	flow_world_free(fw);
}
END_TEST

/*
 * The load: a burst of heavy submissions, of which the last accepted ones are
 * late. Guards against estimates that nobody can check.
 */
START_TEST(test_late_workflows_are_counted)
{
	struct flow_world *fw = heavy_world(58);
	char refused[NAME_BYTES];

	ck_assert_uint_gt(submit_burst(fw, "a", 30, refused), 0);
	flow_world_run_ms(fw, 30000);
	ck_assert_uint_gt(leader_count(fw, "admission_late"), 0);
	flow_world_free(fw);
}
END_TEST

/* Guards against refusals by the standard policy. */
START_TEST(test_standard_policy_refuses_none)
{
	struct flow_world *fw = flow_world_new(52);
	char refused[NAME_BYTES];

	fw->overcommitted = true;
	ck_assert_uint_eq(submit_burst(fw, "a", 30, refused), 0);
	flow_world_free(fw);
}
END_TEST

/*
 * The load: a burst of heavy submissions. Guards against refusals of workflows
 * that never end or are scheduled, and of those with a higher priority, which
 * don't wait for the burst.
 */
START_TEST(test_only_affected_workflows_are_refused)
{
	struct flow_world *fw = heavy_world(53);
	struct flow_step quick = { .count = 2,
				   .cpu_millis = 1000,
				   .memory_mib = 100,
				   .estimate_ms = HEAVY_MS };
	struct flow_step lasting = { .count = 2,
				     .cpu_millis = 1000,
				     .memory_mib = 100,
				     .estimate_ms = HEAVY_MS,
				     .lasting = true };
	char refused[NAME_BYTES];

	ck_assert_uint_gt(submit_burst(fw, "a", 30, refused), 0);
	ck_assert_int_eq(flow_world_submit(fw, "quick", &quick, 1), RESULT_OK);
	ck_assert_int_eq(flow_world_submit(fw, "long", &lasting, 1), RESULT_OK);
	flow_world_free(fw);
}
END_TEST

/*
 * The failure: the reply to an accepted submission is lost, and the caller
 * sends it again. Guards against a refusal of what has been accepted and runs.
 */
START_TEST(test_lost_reply)
{
	struct flow_world *fw = heavy_world(54);
	struct sim_machine *leader = world_leader_host(fw->base)->machine;
	struct sim_path *path = sim_path_between(leader, fw->entry);
	char refused[NAME_BYTES];

	path->cut = true;
	ck_assert_int_eq(submit_heavy(fw, "lost"), RESULT_OUTCOME_UNKNOWN);
	path->cut = false;
	flow_world_run_ms(fw, 3000);
	ck_assert_uint_gt(submit_burst(fw, "a", 30, refused), 0);
	ck_assert_int_eq(submit_heavy(fw, "lost"), RESULT_OK);
	/* The workflow has completed, and is known all the same. */
	ck_assert(flow_world_wait(fw, "lost", FLOW_COMPLETED, 20000));
	ck_assert_int_eq(submit_heavy(fw, "lost"), RESULT_OK);
	flow_world_free(fw);
}
END_TEST

/* Sends a submission to the leader without waiting for the answer. */
static void send_heavy(struct flow_world *fw, struct flow_record *record,
		       const char *id)
{
	struct flow_call call = { .kind = FLOW_CALL_SUBMIT,
				  .ticket = ++fw->ticket,
				  .nr_flows = 1,
				  .flows = record };

	TEXT_SET(call.host, "shop");
	g_snprintf(call.path, sizeof(call.path), "/q/%s", id);
	flow_rules_add(fw->rules, id, record->steps, record->nr_steps);
	node_set_time(sim_node(fw->entry), sim_now_us(fw->base->sim));
	gateway_call(fw->gateway, &call, 3000);
}

/*
 * The failure: a submission is proposed, its commit is slow, and the caller
 * sends it again. Guards against a refusal of the second copy, as the first one
 * is accepted later.
 */
START_TEST(test_copy_of_proposed_submission)
{
	struct flow_world *fw = heavy_world(55);
	struct flow_step step = heavy_step();
	struct flow_record record = { .nr_steps = 1, .steps = &step };
	struct load_policy strict = load_contended;
	struct control_flow *flows;
	char refused[NAME_BYTES];

	record.spec = g_bytes_new("x", 1);
	ck_assert_uint_eq(submit_burst(fw, "a", 6, refused), 0);
	flow_world_run_ms(fw, 1000); /* so that capacity is measured twice */
	world_set_control_delay(fw->base, 100000);
	send_heavy(fw, &record, "slow");
	flow_world_run_ms(fw, 20);
	flows = world_leader(fw->base)->flows;
	ck_assert_ptr_null(state_flow_find(flows->control->state, "slow"));
	/* Less capacity is assumed now, and all others go first. */
	strict.admission_margin_permille = 1;
	flows->policy = &strict;
	record.priority = 1;
	TEXT_SET(record.service, FLOW_WORLD_SERVICE);
	TEXT_SET(record.host, "shop");
	TEXT_SET(record.prefix, "/q/");
	record.slo_ms = 1;
	record.slack_permille = 1000; /* a limit of 1.5 s */
	record.submitted_ms = control_wall_ms(flows->control);
	TEXT_SET(record.id, "other");
	ck_assert_uint_gt(control_flow_admit(flows, &record, 3000), 0);
	TEXT_SET(record.id, "slow");
	ck_assert_uint_eq(control_flow_admit(flows, &record, 3000), 0);
	flow_world_run_ms(fw, 1000);
	ck_assert_int_eq(state_of(fw, "slow"), RESULT_OK);
	g_bytes_unref(record.spec);
	flow_world_free(fw);
}
END_TEST

/*
 * The failure: the leader is lost during a burst. Guards against a new leader
 * that refuses what an earlier one has accepted, or refuses before it has
 * measured, or never refuses again.
 */
START_TEST(test_leader_change)
{
	struct flow_world *fw = heavy_world(56);
	char refused[NAME_BYTES];

	ck_assert_uint_gt(submit_burst(fw, "a", 30, refused), 0);
	kill_leader(fw);
	flow_world_run_ms(fw, 1500);
	ck_assert_int_eq(submit_heavy(fw, "a0"), RESULT_OK);
	/* The queue is as long as before, but nothing is measured yet. */
	ck_assert_uint_eq(submit_burst(fw, "b", 10, refused), 0);
	ck_assert(flow_world_wait(fw, "b9", FLOW_COMPLETED, 60000));
	/*
	 * Workflows that wait for 1.2 s get one run each wherever it is, and
	 * runs aren't slowed down here, so they count as capacity.
	 */
	flow_world_run_ms(fw, 30000);
	ck_assert_uint_gt(submit_burst(fw, "c", 30, refused), 0);
	ck_assert_int_eq(submit_heavy(fw, "a0"), RESULT_OK);
	flow_world_free(fw);
}
END_TEST

/*
 * The load: long tasks of a higher priority on a quarter of the processors.
 * Guards against a refusal while processors are free, because of work that the
 * tasks ahead do only after the submission's limit.
 */
START_TEST(test_long_tasks_ahead)
{
	struct flow_world *fw = heavy_world(59);
	struct flow_step lengthy = { .count = 8,
				     .cpu_millis = 1000,
				     .memory_mib = 100,
				     .estimate_ms = 600000 };
	struct flow_step quick = { .count = 1,
				   .cpu_millis = 1000,
				   .memory_mib = 100,
				   .estimate_ms = 100 };
	struct flow_record record = { .nr_steps = 1,
				      .steps = &quick,
				      .priority = 1,
				      .slo_ms = 1000,
				      .slack_permille = 1000 };
	struct control_flow *flows;

	fw->obeys_pace = true;
	fw->run_ms = lengthy.estimate_ms;
	ck_assert_int_eq(flow_world_submit(fw, "long", &lengthy, 1), RESULT_OK);
	flow_world_run_ms(fw, 3000);
	flows = world_leader(fw->base)->flows;
	TEXT_SET(record.id, "short");
	TEXT_SET(record.service, FLOW_WORLD_SERVICE);
	TEXT_SET(record.host, "shop");
	TEXT_SET(record.prefix, "/q/");
	record.submitted_ms = control_wall_ms(flows->control);
	ck_assert_uint_eq(control_flow_admit(flows, &record, 3000), 0);
	flow_world_free(fw);
}
END_TEST

/*
 * The load: work of a higher priority with a label that no VM has. Guards
 * against a refusal while all processors are free, because of work that waits
 * for something else than capacity.
 */
START_TEST(test_work_that_no_vm_takes)
{
	struct flow_world *fw = heavy_world(60);
	struct flow_step absent = { .count = 200,
				    .cpu_millis = 1000,
				    .memory_mib = 100,
				    .estimate_ms = 3000 };
	struct flow_step quick = { .count = 1,
				   .cpu_millis = 1000,
				   .memory_mib = 100,
				   .estimate_ms = 100 };
	struct flow_record record = { .nr_steps = 1,
				      .steps = &quick,
				      .priority = 1,
				      .slo_ms = 1000,
				      .slack_permille = 1000 };
	struct control_flow *flows;

	TEXT_SET(absent.label, "absent");
	ck_assert_int_eq(flow_world_submit(fw, "w", &absent, 1), RESULT_OK);
	flow_world_run_ms(fw, 3000);
	flows = world_leader(fw->base)->flows;
	TEXT_SET(record.id, "short");
	TEXT_SET(record.service, FLOW_WORLD_SERVICE);
	TEXT_SET(record.host, "shop");
	TEXT_SET(record.prefix, "/q/");
	record.submitted_ms = control_wall_ms(flows->control);
	ck_assert_uint_eq(control_flow_admit(flows, &record, 3000), 0);
	flow_world_free(fw);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_burst_of_heavy_submissions,
		test_capacity_halved,
		test_yield_of_runs,
		test_abandoned_work_does_not_count,
		test_nothing_ahead,
		test_new_leader_measures,
		test_refused_callers_are_spread,
		test_copies_of_refused_submission,
		test_estimates_are_checked,
		test_retry_after_is_rounded_up,
		test_leader_refuses_burst,
		test_steady_load_is_accepted,
		test_late_workflows_are_counted,
		test_standard_policy_refuses_none,
		test_only_affected_workflows_are_refused,
		test_lost_reply,
		test_copy_of_proposed_submission,
		test_leader_change,
		test_long_tasks_ahead,
		test_work_that_no_vm_takes,
	};

	return suite_run("admission", tests, G_N_ELEMENTS(tests));
}
