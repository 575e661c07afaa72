/**
 * @file test_request.c
 * The path of a request through real entries and agents under virtual time:
 * what a caller is told must agree with what ran, under each failure.
 */

#include <stdio.h>

#include "reqbed.h"
#include "suite.h"
#include "tunables.h"

#define LOAD_GAP_MS 2

/* Requests of all kinds at a steady rate, and what became of them. */
struct load_item {
	uint64_t ticket;
	char path[32];
	bool repeatable;
	uint32_t entry;
};

struct mixed_load {
	struct bed *bed;
	GArray *items; /* struct load_item */
};

static void check_done(const struct bed *bed, uint64_t ticket, const char *path)
{
	const struct bed_answer *answer = bed_answer(bed, ticket);
	char text[PATH_BYTES];

	g_snprintf(text, sizeof(text), "response to %s", path);
	ck_assert_uint_eq(answer->nr, 1);
	ck_assert_uint_eq(answer->run, RUN_DONE);
	ck_assert_uint_eq(answer->status, 200);
	ck_assert_str_eq(answer->body, text);
}

/* A third each: repeatable, once without a key, once with a key. */
static void load_submit(struct mixed_load *load)
{
	struct load_item item = { 0 };
	struct request request;
	uint32_t nr = load->items->len;
	char key[32] = "";

	g_snprintf(item.path, sizeof(item.path), "/load/%u", nr);
	if (nr % 3 == 2)
		g_snprintf(key, sizeof(key), "key-%u", nr);
	item.repeatable = nr % 3 == 0;
	item.entry = nr % load->bed->opts.nr_entries;
	request = bed_request(item.path, item.repeatable, key, 2000);
	if (!vhost_node(load->bed->entries[item.entry].machine))
		item.entry = !item.entry;
	item.ticket = bed_submit(load->bed, item.entry, &request);
	g_array_append_val(load->items, item);
}

static void load_run_ms(struct mixed_load *load, uint32_t duration_ms)
{
	for (uint32_t ms = 0; ms < duration_ms; ms += LOAD_GAP_MS) {
		load_submit(load);
		vhost_run_ms(load->bed->vhost, LOAD_GAP_MS);
	}
}

/* What holds under any failure. */
static void load_check_truth(const struct mixed_load *load)
{
	for (uint32_t i = 0; i < load->items->len; i++) {
		const struct load_item *item =
			&g_array_index(load->items, struct load_item, i);
		const struct bed_answer *answer =
			bed_answer(load->bed, item->ticket);
		uint32_t nr_runs = bed_runs(load->bed, item->path);

		/* The callers of an entry that died got no answer. */
		if (!answer->nr && load->bed->entries[item->entry].nr_boots > 1)
			continue;
		ck_assert_msg(answer->nr == 1, "%s answered %u times",
			      item->path, answer->nr);
		if (answer->run == RUN_DONE)
			check_done(load->bed, item->ticket, item->path);
		else
			ck_assert(answer->result != RESULT_OK);
		ck_assert_msg(answer->run != RUN_NOT_RUN || !nr_runs,
			      "%s is said not to have run (%s), but ran",
			      item->path, result_name(answer->result));
		ck_assert_msg(item->repeatable || nr_runs <= 1,
			      "%s isn't repeatable and ran %u times",
			      item->path, nr_runs);
	}
}

static uint32_t load_count(const struct mixed_load *load, bool repeatable,
			   enum run_state run)
{
	uint32_t nr = 0;

	for (uint32_t i = 0; i < load->items->len; i++) {
		const struct load_item *item =
			&g_array_index(load->items, struct load_item, i);
		const struct bed_answer *answer =
			bed_answer(load->bed, item->ticket);

		if (item->repeatable == repeatable && answer->nr &&
		    answer->run == run)
			nr++;
	}
	return nr;
}

static void check_idle(const struct bed *bed)
{
	for (uint32_t i = 0; i < bed->opts.nr_entries; i++)
		if (vhost_node(bed->entries[i].machine))
			ck_assert(
				node_idle(vhost_node(bed->entries[i].machine)));
	for (uint32_t i = 0; i < bed->opts.nr_agents; i++)
		if (vhost_node(bed->agents[i].machine))
			ck_assert(
				node_idle(vhost_node(bed->agents[i].machine)));
}

/* ---- failures under load ---- */

static void fault_none(struct bed *bed)
{
}

static void fault_kill_agent(struct bed *bed)
{
	vhost_kill(bed->agents[0].machine);
	bed->agents[0].agent = NULL;
}

static void heal_boot_agent(struct bed *bed)
{
	bed_boot_agent(bed, 0);
}

static void fault_restart_agent(struct bed *bed)
{
	fault_kill_agent(bed);
	heal_boot_agent(bed);
}

static void fault_pause_agent(struct bed *bed)
{
	vhost_pause(bed->agents[0].machine, true);
}

static void heal_resume_agent(struct bed *bed)
{
	vhost_pause(bed->agents[0].machine, false);
}

static void fault_silence(struct bed *bed)
{
	vhost_silence(bed->entries[0].machine, bed->agents[0].machine);
	vhost_silence(bed->entries[1].machine, bed->agents[1].machine);
}

static void fault_cut(struct bed *bed)
{
	vhost_cut(bed->entries[0].machine, bed->agents[0].machine, true);
}

static void heal_cut(struct bed *bed)
{
	vhost_cut(bed->entries[0].machine, bed->agents[0].machine, false);
}

static void fault_bad_path(struct bed *bed)
{
	for (uint32_t i = 0; i < bed->opts.nr_agents; i++)
		for (uint32_t k = 0; k < bed->opts.nr_entries; k++) {
			struct vpath *to = vhost_path(bed->entries[k].machine,
						      bed->agents[i].machine);
			struct vpath *back =
				vhost_path(bed->agents[i].machine,
					   bed->entries[k].machine);

			to->duplicate_ppm = back->duplicate_ppm = 100000;
			to->unordered = back->unordered = true;
			to->jitter_us = back->jitter_us = 20000;
		}
}

static void fault_dropping_path(struct bed *bed)
{
	fault_bad_path(bed);
	for (uint32_t k = 0; k < bed->opts.nr_entries; k++) {
		vhost_path(bed->entries[k].machine, bed->agents[0].machine)
			->drop_ppm = 200000;
		vhost_path(bed->agents[1].machine, bed->entries[k].machine)
			->drop_ppm = 200000;
	}
}

static void fault_refuse(struct bed *bed)
{
	bed->agents[0].mode = BED_REFUSE;
}

static void fault_break(struct bed *bed)
{
	bed->agents[0].mode = BED_BREAK;
}

static void heal_serve(struct bed *bed)
{
	bed->agents[0].mode = BED_SERVE;
}

static void fault_leave(struct bed *bed)
{
	bed->agents[0].leaving = true;
}

static void fault_fall_silent(struct bed *bed)
{
	bed->agents[0].silent = true;
}

static void fault_zone_out(struct bed *bed)
{
	for (uint32_t i = 0; i < bed->opts.nr_entries; i++)
		fake_site_zone(vhost_node(bed->entries[i].machine),
			       bed->agents[0].zone, true);
	fake_task_zone_out(vhost_node(bed->agents[0].machine), true);
}

static void fault_agent_zone_out(struct bed *bed)
{
	fake_task_zone_out(vhost_node(bed->agents[0].machine), true);
}

static void fault_no_permit(struct bed *bed)
{
	fake_task_permit(vhost_node(bed->agents[0].machine), false);
}

static void fault_shutdown_agent(struct bed *bed)
{
	vhost_shutdown(bed->agents[0].machine);
}

static void fault_restart_entry(struct bed *bed)
{
	vhost_kill(bed->entries[0].machine);
	bed_boot_entry(bed, 0);
}

static void fault_mute_control(struct bed *bed)
{
	bed->control_mute = true;
}

static void heal_mute_control(struct bed *bed)
{
	bed->control_mute = false;
}

static void fault_slow_upstream(struct bed *bed)
{
	bed->agents[0].slow_ppm = 20000000;
}

struct fault_case {
	const char *name;
	void (*fault)(struct bed *bed);
	void (*heal)(struct bed *bed);
	/* Largest share of the 900 requests that may go without a response. */
	uint32_t max_lost;
};

/*
 * The load leaves two of three upstreams able to carry it all, so only what
 * was under way at the fault may be lost, or what needs the part that fails.
 */
static const struct fault_case fault_cases[] = {
	{ "none", fault_none, fault_none, 0 },
	{ "agent dies", fault_kill_agent, heal_boot_agent, 20 },
	{ "agent restarts", fault_restart_agent, fault_none, 20 },
	{ "agent pauses", fault_pause_agent, heal_resume_agent, 20 },
	{ "connections go silent", fault_silence, fault_none, 20 },
	{ "link is cut", fault_cut, heal_cut, 20 },
	{ "doubled and unordered messages", fault_bad_path, fault_none, 0 },
	{ "lost messages", fault_dropping_path, fault_none, 900 },
	{ "upstream refuses connections", fault_refuse, heal_serve, 0 },
	{ "upstream breaks off", fault_break, heal_serve, 40 },
	{ "upstream leaves", fault_leave, fault_none, 0 },
	{ "upstream stops announcing", fault_fall_silent, fault_none, 0 },
	{ "zone goes out", fault_zone_out, fault_none, 0 },
	{ "only the agent knows of its zone", fault_agent_zone_out, fault_none,
	  0 },
	{ "permit is lost", fault_no_permit, fault_none, 0 },
	{ "agent shuts down", fault_shutdown_agent, fault_none, 0 },
	{ "entry restarts", fault_restart_entry, fault_none, 20 },
	{ "claims stay without reply", fault_mute_control, heal_mute_control,
	  0 },
	{ "upstream is 20 times slower", fault_slow_upstream, fault_none, 20 },
};

/* Guards against answers that don't agree with what ran, one failure each. */
START_TEST(test_answers_tell_the_truth)
{
	const struct fault_case *fault = &fault_cases[_i];
	struct bed_opts opts = {
		.seed = 7 + (uint64_t)_i,
		.nr_agents = 3,
		.nr_entries = 2,
		.service_us = 10000,
		.spread_ppm = 500000,
		.control = true,
	};
	struct mixed_load load = { 0 };
	uint32_t nr_done;

	load.bed = bed_new(&opts);
	load.items = g_array_new(FALSE, FALSE, sizeof(struct load_item));
	load_run_ms(&load, 400);
	fault->fault(load.bed);
	load_run_ms(&load, 1000);
	fault->heal(load.bed);
	load_run_ms(&load, 400);
	vhost_run_ms(load.bed->vhost, 60000);
	load_check_truth(&load);
	check_idle(load.bed);
	for (uint32_t i = 0; i < opts.nr_agents; i++)
		ck_assert_uint_le(load.bed->agents[i].max_in_flight, 8);
	nr_done = load_count(&load, true, RUN_DONE) +
		  load_count(&load, false, RUN_DONE);
	ck_assert_msg(nr_done + fault->max_lost >= load.items->len,
		      "%s: %u of %u done", fault->name, nr_done,
		      load.items->len);
	if (g_getenv("REQUEST_VERBOSE"))
		fprintf(stderr, "%s: done=%u of %u\n", fault->name, nr_done,
			load.items->len);
	g_array_unref(load.items);
	bed_free(load.bed);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("request");
	TCase *tcase = tcase_create("request");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 100);
	tcase_add_loop_test(tcase, test_answers_tell_the_truth, 0,
			    G_N_ELEMENTS(fault_cases));
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
