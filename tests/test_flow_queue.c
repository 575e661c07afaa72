/**
 * @file test_flow_queue.c
 * Workflows whose queue a later bundle changes: what was accepted before
 * follows the queue as it is in force, not as it was at the submission.
 */

#include "flow_world.h"
#include "suite.h"

#define RUN_MS 1000

static struct flow_step step_of(uint32_t count)
{
	return (struct flow_step){ .count = count,
				   .cpu_millis = 4000,
				   .memory_mib = 1000,
				   .estimate_ms = RUN_MS };
}

/* Returns a world in which side2 and side3 have workers of the other service.
 */
static struct flow_world *world_with_two_pools(uint64_t seed)
{
	struct flow_world *fw = flow_world_new(seed);

	for (uint32_t i = 2; i < FLOW_WORLD_VMS; i++) {
		fw_crash_worker(&fw->vms[i]);
		fw->vms[i].service = FLOW_WORLD_OTHER;
		fw_boot_worker(&fw->vms[i]);
	}
	flow_world_run_ms(fw, 8000);
	fw->run_ms = RUN_MS;
	return fw;
}

static void send_queue_to(struct flow_world *fw, const char *service)
{
	struct bundle_queue queue = flow_world_queue;

	TEXT_SET(queue.service, service);
	flow_world_put_queue(fw, &queue);
}

/*
 * Guards against accepted tasks that wait for ever for the pool that their
 * queue has left: all of its workers have gone.
 */
START_TEST(test_waiting_work_follows_its_queue)
{
	struct flow_world *fw = world_with_two_pools(31);
	struct flow_step step = step_of(12);

	flow_world_submit(fw, "aa", &step, 1);
	flow_world_run_ms(fw, 500);
	ck_assert_uint_eq(fw_running(fw), 4);
	send_queue_to(fw, FLOW_WORLD_OTHER);
	for (uint32_t i = 0; i < 2; i++)
		fw_crash_worker(&fw->vms[i]);
	ck_assert(flow_world_wait(fw, "aa", FLOW_COMPLETED, 20000));
	flow_world_free(fw);
}
END_TEST

/*
 * Guards against accepted tasks that wait for a pool without free capacity when
 * their queue was sent to an idle one, and against stopping what runs.
 */
START_TEST(test_waiting_work_leaves_a_full_pool)
{
	struct flow_world *fw = world_with_two_pools(32);
	struct flow_step lasting = step_of(4);
	struct flow_step step = step_of(4);

	lasting.lasting = true;
	fw->lasting = "ll";
	flow_world_submit(fw, "ll", &lasting, 1);
	flow_world_run_ms(fw, 500);
	flow_world_submit(fw, "aa", &step, 1);
	flow_world_run_ms(fw, 1000);
	ck_assert_uint_eq(fw_running(fw), 4);
	send_queue_to(fw, FLOW_WORLD_OTHER);
	ck_assert(flow_world_wait(fw, "aa", FLOW_COMPLETED, 4000));
	ck_assert(fw_runs(&fw->vms[0], "ll.0.0.0") ||
		  fw_runs(&fw->vms[1], "ll.0.0.0"));
	flow_world_free(fw);
}
END_TEST

/*
 * Guards against long-running tasks that have no run any more when their queue
 * was sent to another pool and the worker that had them drains.
 */
START_TEST(test_lasting_tasks_follow_their_queue)
{
	struct flow_world *fw = world_with_two_pools(33);
	struct flow_step step = step_of(2);

	step.lasting = true;
	fw->lasting = "ll";
	flow_world_submit(fw, "ll", &step, 1);
	flow_world_run_ms(fw, 500);
	send_queue_to(fw, FLOW_WORLD_OTHER);
	flow_world_run_ms(fw, 1000);
	for (uint32_t i = 0; i < 2; i++)
		fw->vms[i].draining = true;
	flow_world_run_ms(fw, 5000);
	ck_assert(!fw->vms[0].worker.runs->len);
	ck_assert(!fw->vms[1].worker.runs->len);
	ck_assert_uint_eq(fw_running(fw), 2);
	flow_world_free(fw);
}
END_TEST

/*
 * Guards against a new leader that places accepted work by the queue as it was
 * at the submission, and against replicas that restore such a state.
 */
START_TEST(test_queue_outlasts_the_leader)
{
	struct flow_world *fw = world_with_two_pools(34);
	struct flow_step step = step_of(8);

	flow_world_submit(fw, "aa", &step, 1);
	flow_world_run_ms(fw, 200);
	send_queue_to(fw, FLOW_WORLD_OTHER);
	for (uint32_t i = 0; i < fw->base->nr_controls; i++)
		world_kill_control(&fw->base->controls[i]);
	for (uint32_t i = 0; i < 2; i++)
		fw_crash_worker(&fw->vms[i]);
	for (uint32_t i = 0; i < fw->base->nr_controls; i++)
		world_boot_control(&fw->base->controls[i]);
	ck_assert(flow_world_wait(fw, "aa", FLOW_COMPLETED, 30000));
	flow_world_free(fw);
}
END_TEST

/*
 * Guards against accepted tasks whose starts are refused for ever, because
 * their queue needs tickets since a later bundle.
 */
START_TEST(test_advice_comes_later)
{
	struct flow_world *fw = flow_world_new(35);
	struct flow_step step = step_of(60);

	fw->run_ms = RUN_MS;
	flow_world_submit(fw, "aa", &step, 1);
	flow_world_run_ms(fw, 200);
	flow_world_advise(fw, "side2");
	ck_assert(flow_world_wait(fw, "aa", FLOW_COMPLETED, 30000));
	ck_assert_uint_gt(fw->base->nr_advice, 0);
	flow_world_free(fw);
}
END_TEST

/*
 * Guards against accepted tasks that wait for tickets, which their queue
 * doesn't need any more, from an adviser that allows no worker.
 */
START_TEST(test_advice_ends)
{
	struct flow_world *fw = flow_world_new(36);
	struct flow_step step = step_of(4);

	flow_world_advise(fw, "none");
	flow_world_submit(fw, "aa", &step, 1);
	flow_world_run_ms(fw, 2000);
	ck_assert_uint_eq(fw->nr_starts, 0);
	fw->valid_ticket = NULL;
	flow_world_put_queue(fw, &flow_world_queue);
	ck_assert(flow_world_wait(fw, "aa", FLOW_COMPLETED, 4000));
	flow_world_free(fw);
}
END_TEST

/* Guards against accepted work that keeps the priority of an earlier bundle. */
START_TEST(test_priority_follows_the_queue)
{
	struct flow_world *fw = flow_world_new(37);
	struct flow_step step = step_of(8);
	struct bundle_queue queue = flow_world_queue;
	struct op_query query = { 0 };
	const struct op_flows *reply;

	flow_world_submit(fw, "aa", &step, 1);
	queue.priority = 3;
	queue.slo_ms = 7000;
	flow_world_put_queue(fw, &queue);
	flow_world_run_ms(fw, 100);
	TEXT_SET(query.flow_id, "aa");
	reply = world_op(fw->base, OP_FLOW_LIST, &query);
	ck_assert_uint_eq(reply->flows->priority, 3);
	ck_assert(sim_log_has(fw->base->sim,
			      "*event=workflow-queue id=aa *priority=3 *"));
	flow_world_free(fw);
}
END_TEST

SUITE_MAIN("flow_queue", test_waiting_work_follows_its_queue,
	   test_waiting_work_leaves_a_full_pool,
	   test_lasting_tasks_follow_their_queue,
	   test_queue_outlasts_the_leader, test_advice_comes_later,
	   test_advice_ends, test_priority_follows_the_queue)
