/**
 * @file test_state.c
 * Tests of the replicated state machine: the commands it refuses, and that all
 * replicas reach the same state.
 */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "pbmap.h"
#include "schema.h"
#include "state.h"
#include "suite.h"

#define DIGEST_A "aa"
#define DIGEST_B "bb"

static struct state *state;

static struct state_outcome apply(uint32_t type, const void *body)
{
	struct record command = { type, schema_dup(type, body) };
	struct state_outcome outcome = state_apply(state, command);

	record_unref(command);
	state_verify(state);
	return outcome;
}

static enum result submit_bundle(uint64_t version, const char *digest,
				 uint32_t replicas)
{
	struct bundle_zone zones[2] = { { .name = "veraval" },
					{ .name = "mangrol" } };
	struct bundle_service service = { .name = "desk",
					  .replicas = replicas };
	struct bundle bundle = { .version = version };

	TEXT_SET(bundle.digest, digest);
	service.cpu_millis = 1000;
	service.memory_mib = 100;
	bundle.nr_zones = 2;
	bundle.zones = zones;
	bundle.nr_services = replicas ? 1 : 0;
	bundle.services = &service;
	return apply(CMD_BUNDLE_SUBMIT, &bundle).result;
}

static enum result sign_bundle(uint64_t version, const char *digest)
{
	struct cmd_bundle_sign sign = { .version = version,
					.signed_by = "asha" };

	TEXT_SET(sign.digest, digest);
	return apply(CMD_BUNDLE_SIGN, &sign).result;
}

static enum result set_vm(const char *name, uint64_t node_id,
			  uint32_t cpu_millis)
{
	struct vm_record vm = { .state = VM_LIVE, .zone = "veraval" };

	TEXT_SET(vm.name, name);
	vm.node_id = node_id;
	vm.cpu_millis = cpu_millis;
	vm.memory_mib = 1000;
	vm.accelerators = 1;
	return apply(CMD_VM_SET, &vm).result;
}

static struct state_outcome submit_job(const char *key, uint32_t nr_tasks)
{
	struct job_record job = { .name = "plan", .kind = "plan" };

	TEXT_SET(job.key, key);
	job.job_class = JOB_BATCH;
	job.nr_wanted = nr_tasks;
	job.cpu_millis = 1000;
	job.memory_mib = 100;
	job.submitted_ms = 1000;
	return apply(CMD_JOB_SUBMIT, &job);
}

static enum result place(uint64_t task_id, uint64_t epoch, const char *vm,
			 uint64_t vm_node)
{
	struct cmd_task_place command = { .task_id = task_id, .epoch = epoch };

	TEXT_SET(command.vm, vm);
	command.vm_node = vm_node;
	command.cpu_millis = 1000;
	command.memory_mib = 100;
	command.now_ms = 2000;
	return apply(CMD_TASK_PLACE, &command).result;
}

static enum result set_task(uint64_t task_id, uint64_t epoch,
			    uint32_t task_state)
{
	struct cmd_task_set command = { .task_id = task_id, .epoch = epoch };

	command.state = task_state;
	command.now_ms = 3000;
	return apply(CMD_TASK_SET, &command).result;
}

static enum result set_zone(bool out, uint64_t version, const char *who)
{
	struct cmd_zone_set command = { .name = "veraval", .out = out };

	command.expected_version = version;
	TEXT_SET(command.changed_by, who);
	return apply(CMD_ZONE_SET, &command).result;
}

static const struct task_record *task(uint64_t task_id)
{
	const struct state_task *found = state_task_find(state, task_id);

	ck_assert_ptr_nonnull(found);
	return &found->record;
}

/* Sets up a bundle, a VM of four processors and a job of six tasks. */
static void set_up(void)
{
	state = state_new();
	ck_assert_int_eq(submit_bundle(1, DIGEST_A, 0), RESULT_OK);
	ck_assert_int_eq(sign_bundle(1, DIGEST_A), RESULT_OK);
	ck_assert_int_eq(set_vm("vm1", 11, 4000), RESULT_OK);
	ck_assert_uint_eq(submit_job("job1", 6).id, 1);
}

static void tear_down(void)
{
	state_free(state);
	state = NULL;
}

/* Guards against a VM whose processors are overcommitted. */
START_TEST(test_vm_capacity)
{
	static const struct {
		uint64_t task_id;
		enum result result;
	} rows[] = {
		{ 1, RESULT_OK }, { 2, RESULT_OK },	     { 3, RESULT_OK },
		{ 4, RESULT_OK }, { 5, RESULT_NO_CAPACITY },
	};

	set_up();
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		ck_assert_int_eq(place(rows[i].task_id, 1, "vm1", 11),
				 rows[i].result);
	/* A task that is being stopped still counts. */
	ck_assert_int_eq(set_task(1, 1, TASK_RUNNING), RESULT_OK);
	ck_assert_int_eq(set_task(1, 1, TASK_STOPPING), RESULT_OK);
	ck_assert_int_eq(place(5, 1, "vm1", 11), RESULT_NO_CAPACITY);
	ck_assert_int_eq(set_task(1, 1, TASK_PENDING), RESULT_OK);
	ck_assert_int_eq(place(5, 1, "vm1", 11), RESULT_OK);
	tear_down();
}
END_TEST

/* Guards against overcommitted memory or accelerators. */
START_TEST(test_vm_memory_and_accelerators)
{
	struct cmd_task_place command = { .task_id = 1, .epoch = 1 };

	set_up();
	TEXT_SET(command.vm, "vm1");
	command.vm_node = 11;
	command.memory_mib = 1001;
	ck_assert_int_eq(apply(CMD_TASK_PLACE, &command).result,
			 RESULT_NO_CAPACITY);
	command.memory_mib = 1000;
	command.accelerators = 2;
	ck_assert_int_eq(apply(CMD_TASK_PLACE, &command).result,
			 RESULT_NO_CAPACITY);
	/* Sums near the largest value of the type must not wrap around. */
	command.accelerators = 0;
	command.cpu_millis = UINT32_MAX;
	ck_assert_int_eq(apply(CMD_TASK_PLACE, &command).result,
			 RESULT_NO_CAPACITY);
	tear_down();
}
END_TEST

/* Guards against a VM whose capacity falls below its commitments. */
START_TEST(test_vm_shrinks)
{
	set_up();
	ck_assert_int_eq(place(1, 1, "vm1", 11), RESULT_OK);
	ck_assert_int_eq(place(2, 1, "vm1", 11), RESULT_OK);
	ck_assert_int_eq(set_vm("vm1", 11, 1000), RESULT_NO_CAPACITY);
	ck_assert_int_eq(set_vm("vm1", 11, 2000), RESULT_OK);
	tear_down();
}
END_TEST

/* Guards against a task on two VMs and a placement with a reused epoch. */
START_TEST(test_place_checks)
{
	set_up();
	ck_assert_int_eq(set_vm("vm2", 22, 4000), RESULT_OK);
	ck_assert_int_eq(place(1, 2, "vm1", 11), RESULT_STALE);
	ck_assert_int_eq(place(1, 0, "vm1", 11), RESULT_STALE);
	ck_assert_int_eq(place(1, 1, "vm1", 12), RESULT_STALE);
	ck_assert_int_eq(place(1, 1, "vm9", 11), RESULT_UNKNOWN_OBJECT);
	ck_assert_int_eq(place(99, 1, "vm1", 11), RESULT_UNKNOWN_OBJECT);
	ck_assert_int_eq(place(1, 1, "vm1", 11), RESULT_OK);
	ck_assert_int_eq(place(1, 2, "vm2", 22), RESULT_STALE);
	ck_assert_int_eq(set_task(1, 1, TASK_PENDING), RESULT_OK);
	ck_assert_int_eq(place(1, 1, "vm2", 22), RESULT_STALE);
	ck_assert_int_eq(place(1, 2, "vm2", 22), RESULT_OK);
	tear_down();
}
END_TEST

/* Guards against placements in a zone that is out of service. */
START_TEST(test_place_in_zone_out)
{
	set_up();
	ck_assert_int_eq(set_zone(true, 1, "asha"), RESULT_OK);
	ck_assert_int_eq(place(1, 1, "vm1", 11), RESULT_ZONE_OUT);
	ck_assert_int_eq(set_zone(false, 2, "asha"), RESULT_OK);
	ck_assert_int_eq(place(1, 1, "vm1", 11), RESULT_OK);
	tear_down();
}
END_TEST

/*
 * Guards against lost updates by concurrent operators, and against refusing or
 * repeating a resent command.
 */
START_TEST(test_zone_versions)
{
	static const struct {
		uint64_t version;
		const char *who;
		bool out;
		enum result result;
	} rows[] = {
		{ 1, "asha", true, RESULT_OK },
		{ 1, "asha", true, RESULT_OK }, /* a resend */
		{ 1, "ravi", false, RESULT_CONFLICT },
		{ 1, "ravi", true, RESULT_CONFLICT },
		{ 2, "ravi", false, RESULT_OK },
		{ 1, "asha", true, RESULT_STALE }, /* a late resend */
		{ 9, "asha", true, RESULT_OUT_OF_RANGE },
	};

	set_up();
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		ck_assert_int_eq(set_zone(rows[i].out, rows[i].version,
					  rows[i].who),
				 rows[i].result);
	ck_assert(state_zone_is_in(state, "veraval"));
	ck_assert(!state_zone_is_in(state, "nowhere"));
	tear_down();
}
END_TEST

/* Guards against events of an old epoch and invalid changes of state. */
START_TEST(test_task_events)
{
	set_up();
	ck_assert_int_eq(set_task(1, 0, TASK_RUNNING), RESULT_STALE);
	ck_assert_int_eq(place(1, 1, "vm1", 11), RESULT_OK);
	ck_assert_int_eq(set_task(1, 0, TASK_DONE), RESULT_STALE);
	ck_assert_int_eq(set_task(1, 2, TASK_DONE), RESULT_STALE);
	ck_assert_int_eq(set_task(1, 1, TASK_STOPPING), RESULT_OK);
	ck_assert_int_eq(set_task(1, 1, TASK_RUNNING), RESULT_STALE);
	ck_assert_int_eq(set_task(1, 1, TASK_DONE), RESULT_OK);
	ck_assert_int_eq(set_task(1, 1, TASK_DONE), RESULT_OK);
	ck_assert_int_eq(set_task(1, 1, TASK_PENDING), RESULT_STALE);
	ck_assert_int_eq(place(1, 2, "vm1", 11), RESULT_STALE);
	ck_assert_uint_eq(task(1)->state, TASK_DONE);
	tear_down();
}
END_TEST

/*
 * Guards against work that is done twice because its end is reported after its
 * VM was declared lost.
 */
START_TEST(test_late_end)
{
	struct cmd_vm_lost lost = { .name = "vm1", .node_id = 11 };
	struct cmd_task_set set = { .task_id = 1, .epoch = 1 };

	set_up();
	ck_assert_int_eq(set_task(1, 0, TASK_DONE), RESULT_STALE);
	ck_assert_int_eq(place(1, 1, "vm1", 11), RESULT_OK);
	ck_assert_int_eq(place(2, 1, "vm1", 11), RESULT_OK);
	ck_assert_int_eq(apply(CMD_VM_LOST, &lost).result, RESULT_OK);
	set.state = TASK_PENDING;
	TEXT_SET(set.checkpoint, "cp7");
	set.progress_ppm = 400000;
	ck_assert_int_eq(apply(CMD_TASK_SET, &set).result, RESULT_OK);
	ck_assert_str_eq(task(1)->checkpoint, "cp7");
	/* A checkpoint of less progress must not replace this one. */
	TEXT_SET(set.checkpoint, "cp6");
	set.progress_ppm = 300000;
	ck_assert_int_eq(apply(CMD_TASK_SET, &set).result, RESULT_OK);
	ck_assert_str_eq(task(1)->checkpoint, "cp7");
	ck_assert_int_eq(set_task(1, 1, TASK_DONE), RESULT_OK);
	ck_assert_uint_eq(task(1)->state, TASK_DONE);
	/* After the next placement, events of the earlier epoch are stale. */
	ck_assert_int_eq(set_vm("vm1", 11, 4000), RESULT_OK);
	ck_assert_int_eq(place(2, 2, "vm1", 11), RESULT_OK);
	ck_assert_int_eq(set_task(2, 1, TASK_DONE), RESULT_STALE);
	tear_down();
}
END_TEST

/* Guards against losing the checkpoint of an evicted task. */
START_TEST(test_checkpoint_is_kept)
{
	struct cmd_task_set set = { .task_id = 1, .epoch = 1 };

	set_up();
	ck_assert_int_eq(place(1, 1, "vm1", 11), RESULT_OK);
	ck_assert_int_eq(set_task(1, 1, TASK_RUNNING), RESULT_OK);
	set.state = TASK_STOPPING;
	set.evicted = true;
	ck_assert_int_eq(apply(CMD_TASK_SET, &set).result, RESULT_OK);
	set.state = TASK_PENDING;
	set.evicted = false;
	TEXT_SET(set.checkpoint, "cp7");
	set.progress_ppm = 400000;
	ck_assert_int_eq(apply(CMD_TASK_SET, &set).result, RESULT_OK);
	ck_assert_int_eq(place(1, 2, "vm1", 11), RESULT_OK);
	ck_assert_str_eq(task(1)->checkpoint, "cp7");
	ck_assert_uint_eq(task(1)->progress_ppm, 400000);
	ck_assert_uint_eq(task(1)->nr_evictions, 1);
	tear_down();
}
END_TEST

/*
 * Guards against a lost VM that keeps its tasks, and against a late report of
 * the loss that affects the VM's next incarnation.
 */
START_TEST(test_vm_lost)
{
	struct cmd_vm_lost lost = { .name = "vm1", .node_id = 11 };

	set_up();
	ck_assert_int_eq(place(1, 1, "vm1", 11), RESULT_OK);
	ck_assert_int_eq(set_vm("vm1", 12, 4000), RESULT_OK);
	ck_assert_int_eq(apply(CMD_VM_LOST, &lost).result, RESULT_STALE);
	ck_assert_uint_eq(task(1)->state, TASK_PLACED);
	lost.node_id = 12;
	ck_assert_int_eq(apply(CMD_VM_LOST, &lost).result, RESULT_OK);
	ck_assert_uint_eq(task(1)->state, TASK_PENDING);
	ck_assert_uint_eq(task(1)->epoch, 1);
	ck_assert_int_eq(place(1, 2, "vm1", 12), RESULT_STALE);
	ck_assert_int_eq(set_vm("vm1", 12, 4000), RESULT_OK);
	ck_assert_int_eq(place(1, 2, "vm1", 12), RESULT_OK);
	tear_down();
}
END_TEST

/*
 * Guards against a VM in an unknown zone, one that is set as lost, and one that
 * changes its zone while it has tasks.
 */
START_TEST(test_vm_checks)
{
	struct vm_record vm = { .name = "vm5", .zone = "nowhere" };

	set_up();
	vm.node_id = 5;
	vm.state = VM_LIVE;
	ck_assert_int_eq(apply(CMD_VM_SET, &vm).result, RESULT_UNKNOWN_OBJECT);
	TEXT_SET(vm.zone, "mangrol");
	vm.state = VM_LOST;
	ck_assert_int_eq(apply(CMD_VM_SET, &vm).result, RESULT_MALFORMED);
	ck_assert_int_eq(place(1, 1, "vm1", 11), RESULT_OK);
	TEXT_SET(vm.name, "vm1");
	vm.state = VM_LIVE;
	vm.cpu_millis = 4000;
	vm.memory_mib = 1000;
	ck_assert_int_eq(apply(CMD_VM_SET, &vm).result, RESULT_CONFLICT);
	tear_down();
}
END_TEST

/*
 * Guards against an accepted bundle that is replaced by an older one or changes
 * its contents.
 */
START_TEST(test_bundle_versions)
{
	static const struct {
		uint64_t version;
		const char *digest;
		bool sign;
		enum result result;
	} rows[] = {
		{ 1, DIGEST_A, false, RESULT_OK }, /* a resend */
		{ 1, DIGEST_B, false, RESULT_CONFLICT },
		{ 3, DIGEST_A, false, RESULT_OK },
		{ 3, DIGEST_A, false, RESULT_OK },
		{ 3, DIGEST_B, false, RESULT_CONFLICT },
		{ 2, DIGEST_A, false, RESULT_STALE },
		{ 2, DIGEST_A, true, RESULT_STALE },
		{ 4, DIGEST_A, true, RESULT_UNKNOWN_OBJECT },
		{ 3, DIGEST_B, true, RESULT_CONFLICT },
		{ 3, DIGEST_A, true, RESULT_OK },
		{ 3, DIGEST_A, true, RESULT_OK },
		{ 3, DIGEST_B, true, RESULT_CONFLICT },
		{ 1, DIGEST_A, true, RESULT_STALE },
		{ 2, DIGEST_A, false, RESULT_STALE },
		{ 0, DIGEST_A, false, RESULT_OUT_OF_RANGE },
	};

	set_up();
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		ck_assert_int_eq(rows[i].sign ?
					 sign_bundle(rows[i].version,
						     rows[i].digest) :
					 submit_bundle(rows[i].version,
						       rows[i].digest, 0),
				 rows[i].result);
	ck_assert_uint_eq(state->bundles.in_force->version, 3);
	tear_down();
}
END_TEST

/* Guards against a submission that takes effect without a sign-off. */
START_TEST(test_bundle_needs_signature)
{
	struct bundle bundle = { .version = 2, .signed_by = "mallory" };

	set_up();
	TEXT_SET(bundle.digest, DIGEST_A);
	ck_assert_int_eq(apply(CMD_BUNDLE_SUBMIT, &bundle).result, RESULT_OK);
	ck_assert_uint_eq(state->bundles.in_force->version, 1);
	ck_assert_str_eq(state->bundles.submitted->signed_by, "");
	tear_down();
}
END_TEST

/*
 * Guards against a number of a service's replicas that differs from the number
 * in the bundle.
 */
START_TEST(test_service_follows_bundle)
{
	static const uint32_t replicas[] = { 3, 5, 2, 0 };
	const struct state_job *job;

	set_up();
	for (uint32_t i = 0; i < G_N_ELEMENTS(replicas); i++) {
		ck_assert_int_eq(submit_bundle(i + 2, DIGEST_A, replicas[i]),
				 RESULT_OK);
		ck_assert_int_eq(sign_bundle(i + 2, DIGEST_A), RESULT_OK);
		job = state_job_find(state, 2);
		ck_assert_ptr_nonnull(job);
		ck_assert_uint_eq(state_job_live_tasks(job), replicas[i]);
	}
	ck_assert_uint_eq(job->record.state, JOB_CANCELLED);
	tear_down();
}
END_TEST

/* Guards against restarting replicas that were stopped to shrink a service. */
START_TEST(test_service_shrinks_while_running)
{
	const struct state_job *job;

	set_up();
	ck_assert_int_eq(submit_bundle(2, DIGEST_A, 2), RESULT_OK);
	ck_assert_int_eq(sign_bundle(2, DIGEST_A), RESULT_OK);
	/* Tasks 1 to 6 belong to the batch job. */
	ck_assert_int_eq(place(7, 1, "vm1", 11), RESULT_OK);
	ck_assert_int_eq(place(8, 1, "vm1", 11), RESULT_OK);
	ck_assert_int_eq(submit_bundle(3, DIGEST_A, 1), RESULT_OK);
	ck_assert_int_eq(sign_bundle(3, DIGEST_A), RESULT_OK);
	ck_assert_uint_eq(task(7)->state, TASK_PLACED);
	ck_assert_uint_eq(task(8)->state, TASK_STOPPING);
	ck_assert_int_eq(set_task(8, 1, TASK_PENDING), RESULT_OK);
	ck_assert_ptr_null(state_task_find(state, 8));
	job = state_job_find(state, 2);
	ck_assert_uint_eq(state_job_live_tasks(job), 1);
	/* A replica that ends by itself is started again. */
	ck_assert_int_eq(set_task(7, 1, TASK_DONE), RESULT_OK);
	ck_assert_uint_eq(task(7)->state, TASK_PENDING);
	tear_down();
}
END_TEST

/* Guards against a resent job that runs twice. */
START_TEST(test_job_keys)
{
	struct state_outcome outcome;

	set_up();
	outcome = submit_job("job1", 6);
	ck_assert_int_eq(outcome.result, RESULT_OK);
	ck_assert_uint_eq(outcome.id, 1);
	ck_assert_int_eq(submit_job("job1", 7).result, RESULT_CONFLICT);
	ck_assert_uint_eq(submit_job("job2", 1).id, 2);
	ck_assert_int_eq(submit_job("service/desk", 1).result,
			 RESULT_OUT_OF_RANGE);
	ck_assert_int_eq(submit_job("job3", 0).result, RESULT_OUT_OF_RANGE);
	ck_assert_uint_eq(g_tree_nnodes(state->jobs), 2);
	tear_down();
}
END_TEST

/* Guards against a job of a team that is unknown and so has no quota. */
START_TEST(test_job_team)
{
	struct job_record job = { .name = "plan", .team = "nobody" };

	set_up();
	job.job_class = JOB_BATCH;
	job.nr_wanted = 1;
	job.cpu_millis = 1000;
	job.memory_mib = 100;
	ck_assert_int_eq(apply(CMD_JOB_SUBMIT, &job).result,
			 RESULT_UNKNOWN_OBJECT);
	tear_down();
}
END_TEST

/*
 * Guards against cancelled tasks that go on running, and against freeing their
 * capacity before they have stopped.
 */
START_TEST(test_cancel_in_bulk)
{
	uint64_t job_ids[] = { 1, 2, 99 };
	struct cmd_job_cancel cancel = { .nr_job_ids = 3, .job_ids = job_ids };

	set_up();
	ck_assert_uint_eq(submit_job("job2", 2).id, 2);
	ck_assert_int_eq(place(1, 1, "vm1", 11), RESULT_OK);
	ck_assert_int_eq(apply(CMD_JOB_CANCEL, &cancel).result, RESULT_OK);
	ck_assert_uint_eq(task(1)->state, TASK_STOPPING);
	ck_assert_uint_eq(task(2)->state, TASK_CANCELLED);
	ck_assert_uint_eq(task(8)->state, TASK_CANCELLED);
	ck_assert_uint_eq(state_vm_find(state, "vm1")->used_cpu_millis, 1000);
	ck_assert_int_eq(set_task(1, 1, TASK_PENDING), RESULT_OK);
	ck_assert_uint_eq(task(1)->state, TASK_CANCELLED);
	ck_assert_uint_eq(state_vm_find(state, "vm1")->used_cpu_millis, 0);
	ck_assert_int_eq(place(1, 2, "vm1", 11), RESULT_STALE);
	ck_assert_int_eq(apply(CMD_JOB_CANCEL, &cancel).result, RESULT_OK);
	job_ids[0] = job_ids[1] = 98;
	ck_assert_int_eq(apply(CMD_JOB_CANCEL, &cancel).result,
			 RESULT_UNKNOWN_OBJECT);
	tear_down();
}
END_TEST

/* Guards against a job that doesn't finish when all its tasks have ended. */
START_TEST(test_job_finishes)
{
	set_up();
	ck_assert_uint_eq(submit_job("job2", 1).id, 2);
	ck_assert_int_eq(place(7, 1, "vm1", 11), RESULT_OK);
	ck_assert_int_eq(set_task(7, 1, TASK_DONE), RESULT_OK);
	ck_assert_uint_eq(state_job_find(state, 2)->record.state, JOB_FINISHED);
	ck_assert_uint_eq(state_job_find(state, 2)->record.finished_ms, 3000);
	tear_down();
}
END_TEST

/*
 * Guards against dropping a job's key as soon as the job ends, so that a resend
 * would run it again.
 */
START_TEST(test_expire_jobs)
{
	struct cmd_expire expire = { .jobs_before_ms = 3000 };

	set_up();
	ck_assert_uint_eq(submit_job("job2", 1).id, 2);
	ck_assert_int_eq(place(7, 1, "vm1", 11), RESULT_OK);
	ck_assert_int_eq(set_task(7, 1, TASK_DONE), RESULT_OK);
	ck_assert(!state_has_expired(state, &expire));
	ck_assert_int_eq(apply(CMD_EXPIRE, &expire).result, RESULT_OK);
	ck_assert_uint_eq(submit_job("job2", 1).id, 2);
	expire.jobs_before_ms = 3001;
	ck_assert(state_has_expired(state, &expire));
	ck_assert_int_eq(apply(CMD_EXPIRE, &expire).result, RESULT_OK);
	ck_assert_ptr_null(state_job_find(state, 2));
	ck_assert_ptr_null(state_task_find(state, 7));
	ck_assert_ptr_nonnull(state_job_find(state, 1));
	tear_down();
}
END_TEST

static struct claim_record make_claim(const char *digest, uint64_t agent,
				      uint64_t entry, uint32_t attempt)
{
	struct claim_record claim = { .service = "desk", .key = "leaf-9" };

	TEXT_SET(claim.digest, digest);
	claim.agent_node = agent;
	claim.entry_node = entry;
	claim.request_nr = 1;
	claim.attempt = attempt;
	claim.state = CLAIM_HELD;
	claim.claimed_ms = 5000;
	return claim;
}

/* Guards against a request that two agents run. */
START_TEST(test_claims)
{
	static const struct {
		const char *digest;
		uint64_t agent;
		uint64_t entry;
		uint32_t attempt;
		enum result result;
	} rows[] = {
		{ DIGEST_A, 1, 1, 2, RESULT_STALE },
		{ DIGEST_A, 1, 1, 1, RESULT_OK },
		{ DIGEST_A, 1, 1, 1, RESULT_OK }, /* a resend */
		{ DIGEST_A, 2, 1, 1, RESULT_IN_PROGRESS },
		{ DIGEST_A, 1, 2, 1, RESULT_IN_PROGRESS },
		{ DIGEST_B, 2, 2, 1, RESULT_CONFLICT },
		{ DIGEST_A, 2, 2, 3, RESULT_IN_PROGRESS },
		{ DIGEST_A, 2, 2, 2, RESULT_OK }, /* attempt 1 didn't run */
		{ DIGEST_A, 3, 3, 2, RESULT_IN_PROGRESS },
		{ DIGEST_A, 1, 1, 1, RESULT_IN_PROGRESS },
	};

	set_up();
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct claim_record claim =
			make_claim(rows[i].digest, rows[i].agent, rows[i].entry,
				   rows[i].attempt);

		ck_assert_int_eq(apply(CMD_CLAIM, &claim).result,
				 rows[i].result);
	}
	ck_assert_uint_eq(claim_find(state, "desk", "leaf-9")->agent_node, 2);
	tear_down();
}
END_TEST

/* Guards against storing a response of a run that doesn't have the claim. */
START_TEST(test_claim_responses)
{
	struct claim_record claim = make_claim(DIGEST_A, 1, 1, 1);
	struct claim_record done = make_claim(DIGEST_A, 2, 1, 1);
	const struct claim_record *kept;

	set_up();
	ck_assert_int_eq(apply(CMD_CLAIM_DONE, &claim).result,
			 RESULT_UNKNOWN_OBJECT);
	ck_assert_int_eq(apply(CMD_CLAIM, &claim).result, RESULT_OK);
	done.status = 200;
	done.body = g_bytes_new("ordered", 7);
	done.body_kept = true;
	ck_assert_int_eq(apply(CMD_CLAIM_DONE, &done).result, RESULT_STALE);
	done.agent_node = 1;
	ck_assert_int_eq(apply(CMD_CLAIM_DONE, &done).result, RESULT_OK);
	kept = claim_find(state, "desk", "leaf-9");
	ck_assert_uint_eq(kept->state, CLAIM_COMPLETE);
	ck_assert_uint_eq(kept->status, 200);
	ck_assert(g_bytes_equal(kept->body, done.body));
	/* A claim with a stored response never changes. */
	claim.attempt = 2;
	ck_assert_int_eq(apply(CMD_CLAIM, &claim).result, RESULT_IN_PROGRESS);
	g_bytes_unref(done.body);
	tear_down();
}
END_TEST

/* Guards against storing large responses in the replicated state. */
START_TEST(test_claim_large_body)
{
	struct claim_record claim = make_claim(DIGEST_A, 1, 1, 1);

	set_up();
	ck_assert_int_eq(apply(CMD_CLAIM, &claim).result, RESULT_OK);
	claim.body = g_bytes_new_take(g_malloc0(CLAIM_BODY_MAX_BYTES + 1),
				      CLAIM_BODY_MAX_BYTES + 1);
	claim.body_kept = true;
	ck_assert_int_eq(apply(CMD_CLAIM_DONE, &claim).result, RESULT_OK);
	ck_assert(!claim_find(state, "desk", "leaf-9")->body_kept);
	ck_assert_ptr_null(claim_find(state, "desk", "leaf-9")->body);
	g_bytes_unref(claim.body);
	tear_down();
}
END_TEST

static GByteArray *encode_state(const struct state *source)
{
	GByteArray *out = g_byte_array_new();
	uint32_t nr_records;
	struct snapshot_record *records = state_snapshot(source, &nr_records);

	for (uint32_t i = 0; i < nr_records; i++) {
		pb_encode(out, records[i].record.type, records[i].record.body);
		record_unref(records[i].record);
	}
	g_free(records);
	return out;
}

static struct state *copy_state(const struct state *source)
{
	struct state *copy = state_new();
	uint32_t nr_records;
	struct snapshot_record *records = state_snapshot(source, &nr_records);

	state_restore(copy, records, nr_records);
	state_verify(copy);
	for (uint32_t i = 0; i < nr_records; i++)
		record_unref(records[i].record);
	g_free(records);
	return copy;
}

static void assert_same_state(const struct state *a, const struct state *b)
{
	GByteArray *x = encode_state(a);
	GByteArray *y = encode_state(b);

	ck_assert_uint_eq(x->len, y->len);
	ck_assert(!memcmp(x->data, y->data, x->len));
	g_byte_array_unref(x);
	g_byte_array_unref(y);
}

static uint32_t draw(GRand *rand, int32_t below)
{
	return (uint32_t)g_rand_int_range(rand, 0, below);
}

static void random_job_command(GRand *rand)
{
	uint64_t job_ids[3];
	struct cmd_job_cancel cancel = { .nr_job_ids = 3, .job_ids = job_ids };
	struct cmd_expire expire = { 0 };
	char key[16];

	switch (draw(rand, 8)) {
	case 0:
		for (uint32_t i = 0; i < 3; i++)
			job_ids[i] = draw(rand, 200);
		cancel.result = draw(rand, 2) ? RESULT_NEVER_FITS : 0;
		cancel.now_ms = 3000 + draw(rand, 5000);
		apply(CMD_JOB_CANCEL, &cancel);
		break;
	case 1:
		expire.jobs_before_ms = 3000 + draw(rand, 3000);
		expire.claims_before_ms = draw(rand, 6000);
		apply(CMD_EXPIRE, &expire);
		break;
	default:
		g_snprintf(key, sizeof(key), "key%u", draw(rand, 100));
		submit_job(key, 1 + draw(rand, 4));
	}
}

static void random_vm_command(GRand *rand)
{
	struct cmd_vm_lost lost = { 0 };
	struct cmd_vm_quarantine quarantine = { 0 };

	g_snprintf(lost.name, sizeof(lost.name), "vm%u", draw(rand, 4));
	lost.node_id = 10 + draw(rand, 3);
	TEXT_SET(quarantine.name, lost.name);
	quarantine.quarantined = draw(rand, 2);
	switch (draw(rand, 4)) {
	case 0:
		apply(CMD_VM_LOST, &lost);
		break;
	case 1:
		apply(CMD_VM_QUARANTINE, &quarantine);
		break;
	default:
		set_vm(lost.name, lost.node_id, 1000 * (2 + draw(rand, 4)));
	}
}

static void random_task_command(GRand *rand)
{
	uint64_t task_id =
		1 + draw(rand, (int32_t)MAX(1, state->counters.next_task_id));
	const struct state_task *found = state_task_find(state, task_id);
	uint64_t epoch = found ? found->record.epoch : 1;
	char vm[16];

	g_snprintf(vm, sizeof(vm), "vm%u", draw(rand, 4));
	if (draw(rand, 10) == 0)
		epoch = draw(rand, 5);
	if (draw(rand, 2))
		place(task_id, epoch + 1, vm, 10 + draw(rand, 3));
	else
		set_task(task_id, epoch, 1 + draw(rand, 8));
}

static void random_command(GRand *rand)
{
	struct claim_record claim =
		make_claim(draw(rand, 9) ? DIGEST_A : DIGEST_B, draw(rand, 3),
			   draw(rand, 3), 1 + draw(rand, 3));
	uint64_t version = 1 + draw(rand, 30);

	switch (draw(rand, 20)) {
	case 0:
		submit_bundle(version, draw(rand, 9) ? DIGEST_A : DIGEST_B,
			      draw(rand, 6));
		break;
	case 1:
		sign_bundle(version, draw(rand, 9) ? DIGEST_A : DIGEST_B);
		break;
	case 2:
		set_zone(draw(rand, 3) == 0, draw(rand, 30), "asha");
		break;
	case 3:
		g_snprintf(claim.key, sizeof(claim.key), "k%u", draw(rand, 20));
		apply(draw(rand, 2) ? CMD_CLAIM : CMD_CLAIM_DONE, &claim);
		break;
	case 4:
	case 5:
		random_vm_command(rand);
		break;
	case 6:
	case 7:
		random_job_command(rand);
		break;
	default:
		random_task_command(rand);
	}
}

/*
 * Guards against sums and indexes that disagree with the objects, which
 * state_verify() checks after each command, and against replicas that differ
 * after a restart from a snapshot.
 */
START_TEST(test_random_commands)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		GRand *again;
		struct state *replica;
		struct state *first;

		set_up();
		for (uint32_t i = 0; i < 1000; i++)
			random_command(rand);
		replica = copy_state(state);
		assert_same_state(state, replica);
		again = g_rand_copy(rand);
		for (uint32_t i = 0; i < 500; i++)
			random_command(rand);
		/* Applies the same commands to the restored replica. */
		first = state;
		state = replica;
		for (uint32_t i = 0; i < 500; i++)
			random_command(again);
		assert_same_state(first, state);
		state_free(first);
		tear_down();
		g_rand_free(rand);
		g_rand_free(again);
	}
}
END_TEST

SUITE_MAIN("state", test_vm_capacity, test_vm_memory_and_accelerators,
	   test_vm_shrinks, test_place_checks, test_place_in_zone_out,
	   test_zone_versions, test_task_events, test_late_end,
	   test_checkpoint_is_kept, test_vm_lost, test_vm_checks,
	   test_bundle_versions, test_bundle_needs_signature,
	   test_service_follows_bundle, test_service_shrinks_while_running,
	   test_job_keys, test_job_team, test_cancel_in_bulk, test_job_finishes,
	   test_expire_jobs, test_claims, test_claim_responses,
	   test_claim_large_body, test_random_commands)
