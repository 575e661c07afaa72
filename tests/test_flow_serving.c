/**
 * @file test_flow_serving.c
 * Placement and moves of serving tasks and of fillers beside them.
 *
 * Serving tasks have a target for their tail latency; fillers are best-effort
 * tasks that use idle processors. A weight says how much fillers of one image
 * slow down serving tasks of another.
 */

#include <string.h>

#include "control_flow_impl.h"
#include "control_impl.h"
#include "flow_world.h"
#include "suite.h"

static struct flow_step step_of(uint32_t count)
{
	struct flow_step step = { 0 };

	step.count = count;
	step.cpu_millis = 1000;
	step.memory_mib = 500;
	step.estimate_ms = 500;
	return step;
}

/*
 * Guards against fillers that wait forever because serving tasks are close to
 * their targets on all VMs. First seen at site Jaldhara, scenario hunt-5ea3-27.
 */
START_TEST(test_fillers_are_not_starved)
{
	struct flow_world *fw = flow_world_new(14);
	struct flow_step serving = step_of(4);
	struct flow_step filler = step_of(3);

	serving.lasting = true;
	serving.target_ms = 100;
	serving.max_per_vm = 1;
	TEXT_SET(serving.image, "s");
	filler.filler = true;
	TEXT_SET(filler.image, "f");
	fw->run_ms = 0;
	fw->tail_ms = 99;
	flow_world_submit(fw, "aa", &serving, 1);
	flow_world_run_ms(fw, 2000);
	ck_assert_uint_eq(fw_running(fw), 4);
	for (uint32_t i = 0; i < 6; i++) {
		char id[NAME_BYTES];

		g_snprintf(id, sizeof(id), "f%u", i);
		flow_world_submit(fw, id, &filler, 1);
	}
	/* After 3 s each filler workflow has a running task. */
	flow_world_run_ms(fw, 3000);
	ck_assert_uint_ge(fw_running(fw), 4 + 6);
	flow_world_free(fw);
}
END_TEST

/*
 * Guards against fillers that wait although serving tasks hardly use the
 * processors that are reserved for them. First seen at site Dorado, scenario
 * scale-1.
 */
START_TEST(test_idle_serving_tasks_leave_room)
{
	const uint32_t nr_expected = 6 * FLOW_WORLD_VMS;
	struct flow_world *fw = flow_world_new(33);
	struct flow_step serving = step_of(FLOW_WORLD_VMS);
	struct flow_step filler = step_of(6 * FLOW_WORLD_VMS);

	serving.lasting = true;
	serving.target_ms = 100;
	serving.max_per_vm = 1;
	serving.cpu_millis = 8000; /* all processors of a VM */
	TEXT_SET(serving.image, "s");
	filler.filler = true;
	TEXT_SET(filler.image, "f");
	fw->run_ms = 0;
	fw->overcommitted = true;
	flow_world_submit(fw, "aa", &serving, 1);
	/*
	 * The serving tasks have almost no load. The leader learns from a
	 * latency only when it changes.
	 */
	for (uint32_t i = 0; i < 20; i++) {
		fw->tail_ms = 20 + i % 3;
		flow_world_run_ms(fw, 300);
	}
	ck_assert_uint_eq(fw_running(fw), FLOW_WORLD_VMS);
	flow_world_submit(fw, "bb", &filler, 1);
	flow_world_run_ms(fw, 1000);
	/*
	 * Fillers get five of eight processors on each VM, as no weights are
	 * known yet.
	 */
	ck_assert_uint_ge(fw_running(fw), nr_expected);
	flow_world_free(fw);
}
END_TEST

static struct flow_step serving_step(uint32_t count, const char *image)
{
	struct flow_step step = step_of(count);

	step.lasting = true;
	step.target_ms = 100;
	step.max_per_vm = 1;
	step.max_unavailable = 1;
	TEXT_SET(step.image, image);
	return step;
}

/* Returns the number of the workflow's runs at the VM's worker. */
static uint32_t count_runs(const struct fw_vm *vm, const char *id)
{
	uint32_t nr = 0;

	for (guint i = 0; i < vm->worker.runs->len; i++) {
		const struct fw_run *run =
			&g_array_index(vm->worker.runs, struct fw_run, i);

		nr += g_str_has_prefix(run->task, id);
	}
	return nr;
}

/*
 * Guards against a filler that stays on a VM where it is throttled to a stop.
 */
START_TEST(test_held_filler_moves)
{
	struct flow_world *fw = flow_world_new(15);
	struct flow_step serving = serving_step(4, "s");
	struct flow_step filler = step_of(1);
	struct fw_vm *first = NULL;

	filler.filler = true;
	filler.checkpoints = true;
	TEXT_SET(filler.image, "f");
	fw->run_ms = 0;
	fw->tail_ms = 30;
	flow_world_submit(fw, "aa", &serving, 1);
	flow_world_run_ms(fw, 3000);
	flow_world_submit(fw, "ff", &filler, 1);
	flow_world_run_ms(fw, 500);
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		if (count_runs(&fw->vms[i], "ff"))
			first = &fw->vms[i];
	ck_assert_ptr_nonnull(first);
	first->tail_ms = 130;
	flow_world_run_ms(fw, 6000);
	ck_assert_uint_eq(count_runs(first, "ff"), 0);
	ck_assert_uint_eq(count_runs(first, "aa"), 1);
	ck_assert_uint_eq(fw_running(fw), 5);
	flow_world_free(fw);
}
END_TEST

/*
 * Guards against a throttled long-running filler that is moved while as many
 * other tasks of its step are away as the step allows.
 */
START_TEST(test_held_filler_stays_for_its_step)
{
	struct flow_world *fw = flow_world_new(15);
	struct flow_step serving = serving_step(4, "s");
	struct flow_step filler = step_of(2);
	struct fw_vm *down = NULL;
	struct fw_vm *held = NULL;

	filler.filler = true;
	filler.checkpoints = true;
	filler.lasting = true;
	filler.max_unavailable = 1;
	filler.max_per_vm = 1;
	TEXT_SET(filler.image, "f");
	fw->run_ms = 0;
	fw->tail_ms = 30;
	flow_world_submit(fw, "aa", &serving, 1);
	flow_world_run_ms(fw, 3000);
	flow_world_submit(fw, "ff", &filler, 1);
	flow_world_run_ms(fw, 2500);
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++) {
		if (!count_runs(&fw->vms[i], "ff"))
			continue;
		down = held;
		held = &fw->vms[i];
	}
	ck_assert_ptr_nonnull(down);
	fw_kill_agent(down);
	fw_crash_worker(down);
	held->tail_ms = 130;
	for (uint32_t ms = 0; ms < 5000; ms += 20) {
		flow_world_run_ms(fw, 20);
		ck_assert_msg(count_runs(held, "ff") == 1,
			      "stopped after %u ms", ms);
	}
	/* The other filler is placed elsewhere, then this one moves. */
	flow_world_run_ms(fw, 6000);
	ck_assert_uint_eq(count_runs(held, "ff"), 0);
	ck_assert_uint_eq(fw_running(fw), 5);
	flow_world_free(fw);
}
END_TEST

/*
 * Commits weights, with which each of two filler images slows down one of two
 * serving images, and changes the leader so that the new leader restores them.
 */
static void commit_weights(struct flow_world *fw)
{
	struct pressure_pair pairs[4] = { 0 };
	struct cmd_pressure cmd = { .nr_pairs = 4, .pairs = pairs };
	struct world_control *leader = world_leader_host(fw->base);

	for (uint32_t i = 0; i < 4; i++) {
		TEXT_SET(pairs[i].serving, i % 2 ? "s1" : "s2");
		TEXT_SET(pairs[i].filler, i / 2 ? "f1" : "f2");
		pairs[i].weight_permille = i == 0 || i == 3 ? 2500 : 0;
	}
	ck_assert_int_eq(control_propose(leader->control, CMD_PRESSURE, &cmd,
					 NULL),
			 RESULT_OK);
	flow_world_run_ms(fw, 500);
	world_kill_control(leader);
	flow_world_run_ms(fw, 2000);
	world_boot_control(leader);
}

/*
 * Puts serving tasks of two images on each VM of one zone ("aa", "bb"), and of
 * one image on each VM of the other ("cc", "dd"); then commits weights by which
 * the tasks of the first two are to be moved.
 */
static void submit_serving(struct flow_world *fw)
{
	struct flow_step one = serving_step(2, "s1");
	struct flow_step two = serving_step(2, "s2");

	fw->run_ms = 0;
	fw->tail_ms = 30;
	flow_world_set_zone(fw, "porbandar", true);
	flow_world_submit(fw, "aa", &one, 1);
	flow_world_submit(fw, "bb", &two, 1);
	flow_world_run_ms(fw, 1000);
	ck_assert_uint_eq(fw_running(fw), 4);
	/* Each VM of the other zone gets tasks of one image. */
	flow_world_set_zone(fw, "porbandar", false);
	flow_world_set_zone(fw, "veraval", true);
	one.count = 1;
	two.count = 1;
	flow_world_submit(fw, "cc", &one, 1);
	flow_world_submit(fw, "dd", &two, 1);
	flow_world_run_ms(fw, 1000);
	flow_world_set_zone(fw, "veraval", false);
	commit_weights(fw);
}

/*
 * Guards against moves of serving tasks that make more tasks of a step
 * unavailable than it allows, and against VMs that stay unusable for all
 * fillers.
 */
START_TEST(test_serving_tasks_are_grouped)
{
	struct flow_world *fw = flow_world_new(16);
	uint32_t mixed = 0;

	submit_serving(fw);
	for (uint32_t ms = 0; ms < 20000; ms += 20) {
		uint32_t nr[2] = { 0 };

		flow_world_run_ms(fw, 20);
		mixed = 0;
		for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++) {
			const struct fw_vm *vm = &fw->vms[i];

			nr[0] += count_runs(vm, "aa");
			nr[1] += count_runs(vm, "bb");
			mixed += (count_runs(vm, "aa") ||
				  count_runs(vm, "cc")) &&
				 (count_runs(vm, "bb") || count_runs(vm, "dd"));
		}
		ck_assert_uint_ge(nr[0], 1);
		ck_assert_uint_ge(nr[1], 1);
	}
	/* At first, two VMs had serving tasks of both images. */
	ck_assert_uint_eq(mixed, 0);
	ck_assert_uint_eq(fw_running(fw), 6);
	flow_world_free(fw);
}
END_TEST

/*
 * Guards against a serving task that is moved while another task of its step is
 * away because its VM is down. The leader took the tasks of a VM for running
 * until their lease had expired.
 */
START_TEST(test_no_move_while_a_vm_is_down)
{
	struct flow_world *fw = flow_world_new(16);
	struct fw_vm *down = NULL;

	submit_serving(fw);
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		if (count_runs(&fw->vms[i], "aa") &&
		    count_runs(&fw->vms[i], "bb"))
			down = &fw->vms[i];
	ck_assert_ptr_nonnull(down);
	fw_kill_agent(down);
	fw_crash_worker(down);
	for (uint32_t ms = 0; ms < 5000; ms += 20) {
		uint32_t nr[2] = { 0 };

		flow_world_run_ms(fw, 20);
		for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++) {
			nr[0] += count_runs(&fw->vms[i], "aa");
			nr[1] += count_runs(&fw->vms[i], "bb");
		}
		ck_assert_msg(nr[0] >= 1 && nr[1] >= 1,
			      "after %u ms %u and %u tasks run", ms, nr[0],
			      nr[1]);
	}
	/* The tasks of the VM are placed elsewhere, then the others move. */
	flow_world_run_ms(fw, 20000);
	ck_assert_uint_eq(fw_running(fw), 6);
	ck_assert(
		sim_log_has(fw->base->sim,
			    "*event=task-stop *reason=\"other neighbours\"*"));
	flow_world_free(fw);
}
END_TEST

/*
 * Guards against long-running fillers that never run again once their workers
 * have left, because the step's other tasks run and no other VM has half of its
 * processors free.
 */
START_TEST(test_lasting_fillers_return)
{
	struct flow_world *fw = flow_world_new(41);
	struct flow_step step = step_of(FLOW_WORLD_VMS);

	step.lasting = true;
	step.filler = true;
	step.cpu_millis = 6000; /* of 8000 */
	TEXT_SET(step.image, "f");
	fw->lasting = "ll";
	fw->run_ms = 0;
	fw->overcommitted = true;
	flow_world_submit(fw, "ll", &step, 1);
	flow_world_run_ms(fw, 3000);
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		ck_assert_uint_eq(fw->vms[i].worker.runs->len, 1);
	fw->vms[2].draining = true;
	fw->vms[3].draining = true;
	flow_world_run_ms(fw, 2500);
	ck_assert_uint_eq(fw->vms[2].worker.runs->len, 0);
	ck_assert_uint_eq(fw->vms[3].worker.runs->len, 0);
	flow_world_run_ms(fw, 3500);
	ck_assert_uint_eq(fw_running(fw), FLOW_WORLD_VMS);
	flow_world_free(fw);
}
END_TEST

/*
 * Guards against a filler that never starts while the workers of another
 * service are busy: only its own service's processors tell whether enough are
 * free.
 */
START_TEST(test_filler_beside_a_busy_service)
{
	struct flow_world *fw = flow_world_new(42);
	struct bundle_queue queue = flow_world_queue;
	struct flow_step busy = step_of(2);
	struct flow_step half = step_of(1);
	struct flow_step filler = step_of(1);

	for (uint32_t i = 2; i < FLOW_WORLD_VMS; i++) {
		fw_crash_worker(&fw->vms[i]);
		fw->vms[i].service = FLOW_WORLD_OTHER;
		fw_boot_worker(&fw->vms[i]);
	}
	flow_world_run_ms(fw, 8000);
	fw->run_ms = 0;
	fw->overcommitted = true;
	busy.lasting = true;
	busy.cpu_millis = 8000;
	flow_world_submit(fw, "pp", &busy, 1);
	flow_world_run_ms(fw, 1000);
	ck_assert_uint_eq(fw_running(fw), 2);
	TEXT_SET(queue.service, FLOW_WORLD_OTHER);
	flow_world_put_queue(fw, &queue);
	half.lasting = true;
	half.cpu_millis = 6000; /* of 16000 of the service */
	TEXT_SET(half.label, fw->vms[2].zone);
	flow_world_submit(fw, "hh", &half, 1);
	flow_world_run_ms(fw, 1000);
	filler.filler = true;
	filler.cpu_millis = 5000; /* two fifths of it are free */
	TEXT_SET(filler.image, "f");
	TEXT_SET(filler.label, fw->vms[2].zone);
	flow_world_submit(fw, "ff", &filler, 1);
	flow_world_run_ms(fw, 3000);
	ck_assert(fw_runs(&fw->vms[2], "ff.0.0.0"));
	flow_world_free(fw);
}
END_TEST

/*
 * Guards against weights that are learned from the measurements of an
 * incarnation that has ended, as shares of the processors of the next one: that
 * is known from a list, which has no capacity. The weights are replicated.
 */
START_TEST(test_weights_after_unannounced_restart)
{
	struct flow_world *fw = flow_world_new(14);
	struct flow_step serving = step_of(4);
	struct flow_step filler = step_of(4);
	struct fw_vm *vm = &fw->vms[0];
	struct pressure *pressure;
	uint32_t images[2];
	uint32_t before;
	uint32_t after;

	serving.lasting = true;
	serving.target_ms = 100;
	serving.max_per_vm = 1;
	TEXT_SET(serving.image, "s");
	filler.filler = true;
	filler.max_per_vm = 1;
	TEXT_SET(filler.image, "f");
	fw->run_ms = 0;
	fw->tail_ms = 60;
	flow_world_submit(fw, "aa", &serving, 1);
	flow_world_run_ms(fw, 2000);
	flow_world_submit(fw, "ff", &filler, 1);
	flow_world_run_ms(fw, 8000);
	ck_assert_uint_eq(fw_running(fw), 8);
	pressure = world_leader_host(fw->base)->control->flows->pressure;
	images[0] = pressure_image(pressure, "s");
	images[1] = pressure_image(pressure, "f");
	before = pressure_learned_weight(pressure, images[0], images[1]);
	fw_crash_worker(vm);
	flow_world_run_ms(fw, 300);
	fw_boot_worker(vm);
	vm->first_heartbeat_us = sim_now_us(fw->base->sim) + 2000000;
	flow_world_run_ms(fw, 1000);
	ck_assert(sim_log_has(fw->base->sim, "*event=worker *cpu_millis=0 *"));
	after = pressure_learned_weight(pressure, images[0], images[1]);
	ck_assert_msg(after + 100 > before && after < before + 100,
		      "the weight changes from %u to %u permille", before,
		      after);
	flow_world_free(fw);
}
END_TEST

SUITE_MAIN("flow_serving", test_fillers_are_not_starved,
	   test_idle_serving_tasks_leave_room, test_held_filler_moves,
	   test_held_filler_stays_for_its_step, test_serving_tasks_are_grouped,
	   test_no_move_while_a_vm_is_down, test_lasting_fillers_return,
	   test_filler_beside_a_busy_service,
	   test_weights_after_unannounced_restart)
