/**
 * @file soak_faults.c
 * Faults from outside the processes: signals, links, files. They come in phases
 * that differ in what they hit, and in series that overlap.
 */

#include <signal.h>
#include <string.h>

#include "soak.h"

#define TICK_MS 40
#define GAP_MIN_MS 100
#define GAP_MAX_MS 500
#define FIRST_FAULT_DELAY_MS 2500
#define DOWN_MIN_MS 100
#define DOWN_MAX_MS 3000
#define PAUSE_MAX_MS 6000
#define LINK_MAX_MS 4000
#define ROLL_GAP_MAX_MS 3000 /* between the machines of a rolling restart */
#define FILE_LIMIT_MAX_KIB 256
#define LIMIT_MAX_MS 4000
#define DISK_FULL_GAP_MS 2500 /* between disks that are full in turn */

enum family {
	FAMILY_CORE = 1,
	FAMILY_ENTRY = 2,
	FAMILY_AGENT = 4, /* agents and workers */
};

struct phase {
	uint32_t families;
	uint32_t duration_ms;
};

/* Phases without the core are longer than contactMs and ackMs together. */
static const struct phase phases[] = {
	{ FAMILY_ENTRY, 5000 },
	{ FAMILY_AGENT, 5000 },
	{ FAMILY_ENTRY | FAMILY_AGENT, 8500 },
	{ FAMILY_CORE, 5000 },
	{ FAMILY_CORE | FAMILY_ENTRY, 6000 },
	{ FAMILY_CORE | FAMILY_ENTRY | FAMILY_AGENT, 6000 },
	{ 0, 4000 },
};

struct soak_faults;

/* What befalls one machine of a role after the other. */
struct series {
	void (*inject)(struct soak_faults *faults, struct soak_proc *vm);
	enum soak_role role;
	uint32_t next;
	int64_t next_ms;
	uint32_t gap_ms;
};

struct link_fault {
	int64_t until_ms; /* 0: none */
};

struct soak_faults {
	struct soak *soak;
	GRand *random;
	guint tick;
	uint32_t families;
	int64_t phase_end_ms;
	int64_t next_ms;
	int64_t core_exclusive_until_ms; /* no other fault of the core until
					    then */
	GArray *series; /* struct series */
	struct link_fault links[TB_MAX_CONTROLS];
	bool over;
};

static int64_t draw_ms(struct soak_faults *faults, uint32_t min_ms,
		       uint32_t max_ms)
{
	return soak_now_ms() +
	       g_rand_int_range(faults->random, (gint)min_ms, (gint)max_ms + 1);
}

/* ---- what befalls a process ---- */

static void core_faults(struct soak *soak, bool begin)
{
	if (begin) {
		if (!soak->nr_core_faults++)
			soak_span_begin(soak->core_faults);
	} else if (!--soak->nr_core_faults) {
		soak_span_end(soak->core_faults);
	}
}

static void proc_interrupt(struct soak *soak, struct soak_proc *vm,
			   enum soak_proc_state state, int64_t until_ms)
{
	if (vm->state == VM_RUNS) {
		soak_span_begin(vm->touched);
		if (vm->role == SOAK_CONTROL)
			core_faults(soak, true);
	}
	if (state == VM_PAUSED || state == VM_DOWN)
		soak_span_begin(vm->harm);
	vm->state = state;
	vm->until_ms = until_ms;
}

static void proc_recovered(struct soak *soak, struct soak_proc *vm)
{
	vm->state = VM_RUNS;
	vm->until_ms = 0;
	vm->sigterm_ms = 0;
	soak_span_end(vm->harm);
	soak_span_end(vm->touched);
	if (vm->role == SOAK_CONTROL)
		core_faults(soak, false);
}

static void proc_kill(struct soak_faults *faults, struct soak_proc *vm,
		      int64_t until_ms)
{
	proc_interrupt(faults->soak, vm, VM_DOWN, until_ms);
	tb_proc_signal(vm->proc, SIGKILL);
}

static void proc_lift_limit(struct soak *soak, struct soak_proc *vm)
{
	if (!vm->limited_until_ms)
		return;
	if (tb_proc_pid(vm->proc))
		tb_proc_limit_files(vm->proc, 0);
	vm->limited_until_ms = 0;
	core_faults(soak, false);
}

static void proc_restart(struct soak *soak, struct soak_proc *vm)
{
	if (vm->wipe)
		tb_proc_wipe_disk(vm->proc);
	vm->wipe = false;
	proc_lift_limit(soak, vm);
	tb_proc_restart(vm->proc);
	vm->nr_lives++;
	proc_recovered(soak, vm);
}

static void proc_terminate(struct soak_faults *faults, struct soak_proc *vm)
{
	vm->sigterm_ms = soak_now_ms();
	proc_interrupt(faults->soak, vm, VM_LEAVING,
		       vm->sigterm_ms + SOAK_GRACE_S * INT64_C(1000));
	tb_proc_signal(vm->proc, SIGTERM);
}

/* A process that ended without a signal of ours. */
static void proc_exited(struct soak_faults *faults, struct soak_proc *vm,
			int exit_code)
{
	soak_violation(faults->soak, "FAULT: %s ended by itself with code %d",
		       tb_proc_name(vm->proc), exit_code);
	proc_interrupt(faults->soak, vm, VM_DOWN,
		       draw_ms(faults, DOWN_MIN_MS, DOWN_MAX_MS));
}

/* The settings bound a shutdown by less than the grace. */
static void proc_missed_grace(struct soak *soak, struct soak_proc *vm)
{
	soak_violation_if_stable(soak, vm->sigterm_ms * 1000,
				 "FAULT: %s hasn't ended %d s after a SIGTERM",
				 tb_proc_name(vm->proc), SOAK_GRACE_S);
	tb_proc_signal(vm->proc, SIGKILL);
}

static void vm_tick(struct soak_faults *faults, struct soak_proc *vm)
{
	bool due = faults->over || soak_now_ms() >= vm->until_ms;
	int exit_code;

	switch (vm->state) {
	case VM_RUNS:
		if (tb_proc_ended(vm->proc, &exit_code))
			proc_exited(faults, vm, exit_code);
		else if (faults->over || soak_now_ms() >= vm->limited_until_ms)
			proc_lift_limit(faults->soak, vm);
		break;
	case VM_PAUSED:
		if (!due)
			break;
		tb_proc_signal(vm->proc, SIGCONT);
		proc_recovered(faults->soak, vm);
		break;
	case VM_LEAVING:
		if (!tb_proc_ended(vm->proc, &exit_code)) {
			if (soak_now_ms() >= vm->until_ms)
				proc_missed_grace(faults->soak, vm);
			break;
		}
		/* Its listener is gone, which is no harm of its own. */
		vm->state = VM_DOWN;
		vm->until_ms = draw_ms(faults, DOWN_MIN_MS, DOWN_MAX_MS / 3);
		break;
	case VM_DOWN:
		if (due)
			proc_restart(faults->soak, vm);
		break;
	}
}

/* ---- kinds of faults ---- */

struct fault_kind {
	const char *name;
	uint32_t family; /* enum family */
	enum soak_role role;
	uint32_t weight;
	void (*begin)(struct soak_faults *faults, struct soak_proc *vm);
};

static void fault_kill(struct soak_faults *faults, struct soak_proc *vm)
{
	proc_kill(faults, vm, draw_ms(faults, DOWN_MIN_MS, DOWN_MAX_MS));
}

static void fault_pause(struct soak_faults *faults, struct soak_proc *vm)
{
	proc_interrupt(faults->soak, vm, VM_PAUSED,
		       draw_ms(faults, DOWN_MIN_MS, PAUSE_MAX_MS));
	tb_proc_signal(vm->proc, SIGSTOP);
}

static void fault_terminate(struct soak_faults *faults, struct soak_proc *vm)
{
	proc_terminate(faults, vm);
}

/* The file of settings changes, with or without a signal. */
static void fault_reload(struct soak_faults *faults, struct soak_proc *vm)
{
	if (soak_chance(faults->random, 70))
		tb_proc_rotate_controls(vm->proc,
					g_rand_int(faults->random) % 16);
	if (soak_chance(faults->random, 80))
		tb_proc_signal(vm->proc, SIGHUP);
}

static void fault_rolling_restart(struct soak_faults *faults,
				  struct soak_proc *vm)
{
	struct series series = {
		.inject = proc_terminate,
		.role = vm->role,
		.next_ms = soak_now_ms(),
		.gap_ms = (uint32_t)g_rand_int_range(faults->random, 300,
						     ROLL_GAP_MAX_MS),
	};

	g_array_append_val(faults->series, series);
}

static void fault_kill_all(struct soak_faults *faults, struct soak_proc *vm)
{
	int64_t until_ms = draw_ms(faults, DOWN_MIN_MS, DOWN_MAX_MS);

	for (uint32_t i = 0; i < soak_nr_procs(faults->soak, vm->role); i++) {
		struct soak_proc *other =
			soak_proc_at(faults->soak, vm->role, i);

		if (other->state != VM_DOWN)
			proc_kill(faults, other, until_ms);
	}
}

/* Every process of the system at the same moment; the workers run on. */
static void fault_power_loss(struct soak_faults *faults, struct soak_proc *vm)
{
	for (enum soak_role role = SOAK_CONTROL; role <= SOAK_AGENT; role++)
		fault_kill_all(faults, soak_proc_at(faults->soak, role, 0));
}

/* The platform loses one disk at a time: the others have to have caught up. */
static void fault_wipe(struct soak_faults *faults, struct soak_proc *vm)
{
	if (faults->soak->nr_core_faults ||
	    soak_core_fault_free_ms(faults->soak) < SOAK_CATCH_UP_MS)
		return;
	vm->wipe = true;
	fault_kill(faults, vm);
	faults->core_exclusive_until_ms =
		soak_now_ms() + DOWN_MAX_MS + SOAK_CATCH_UP_MS;
	/* At times all others lose power at that moment, with their disks. */
	if (soak_chance(faults->random, 40))
		fault_kill_all(faults, vm);
}

/*
 * The bound is on all files of the process, and the port file that it writes at
 * its start isn't on its disk: a process that starts is left alone.
 */
static void vm_limit(struct soak_faults *faults, struct soak_proc *vm,
		     int64_t until_ms, uint64_t bytes)
{
	if (!tb_proc_http(vm->proc)[0])
		return;
	core_faults(faults->soak, true);
	vm->limited_until_ms = until_ms;
	tb_proc_limit_files(vm->proc, bytes);
}

/* The disk refuses every write, until the next one's turn. */
static void proc_fill_disk(struct soak_faults *faults, struct soak_proc *vm)
{
	if (!vm->limited_until_ms)
		vm_limit(faults, vm, soak_now_ms() + DISK_FULL_GAP_MS / 2, 1);
}

/* Some bytes are still taken; from the first VM on, all disks fill in turn. */
static void fault_disk_full(struct soak_faults *faults, struct soak_proc *vm)
{
	struct series series = {
		.inject = proc_fill_disk,
		.role = vm->role,
		.next = 1,
		.next_ms = soak_now_ms() + DISK_FULL_GAP_MS,
		.gap_ms = DISK_FULL_GAP_MS,
	};
	int64_t until_ms = draw_ms(faults, DOWN_MIN_MS, LIMIT_MAX_MS);
	uint64_t kib = (uint64_t)g_rand_int_range(faults->random, 1,
						  FILE_LIMIT_MAX_KIB);

	if (vm != soak_proc_at(faults->soak, vm->role, 0)) {
		vm_limit(faults, vm, until_ms, kib << 10);
		return;
	}
	proc_fill_disk(faults, vm);
	g_array_append_val(faults->series, series);
}

static void fault_link(struct soak_faults *faults, struct soak_proc *vm)
{
	static const char *const commands[] = {
		"delay 60", "silence",	"reset",	   "cut in",
		"cut out",  "cut both", "stall 50000 300",
	};
	const char *command = commands[g_rand_int_range(
		faults->random, 0, G_N_ELEMENTS(commands))];
	bool short_one = !strcmp(command, "silence") ||
			 !strcmp(command, "reset");

	for (uint32_t i = 0; i < soak_nr_procs(faults->soak, SOAK_CONTROL);
	     i++) {
		if (soak_proc_at(faults->soak, SOAK_CONTROL, i) != vm ||
		    faults->links[i].until_ms)
			continue;
		soak_note("link of %s: %s", tb_proc_name(vm->proc), command);
		tb_proc_fault(vm->proc, command);
		core_faults(faults->soak, true);
		faults->links[i].until_ms =
			short_one ? soak_now_ms() :
				    draw_ms(faults, DOWN_MIN_MS, LINK_MAX_MS);
	}
}

/* The worker ends and begins another life under its identity. */
static void fault_worker_restart(struct soak_faults *faults,
				 struct soak_proc *vm)
{
	tb_proc_signal(vm->proc, SIGHUP);
}

static const struct fault_kind kinds[] = {
	{ "kill", FAMILY_CORE, SOAK_CONTROL, 4, fault_kill },
	{ "pause", FAMILY_CORE, SOAK_CONTROL, 3, fault_pause },
	{ "terminate", FAMILY_CORE, SOAK_CONTROL, 2, fault_terminate },
	{ "roll", FAMILY_CORE, SOAK_CONTROL, 1, fault_rolling_restart },
	{ "kill-all", FAMILY_CORE, SOAK_CONTROL, 1, fault_kill_all },
	{ "wipe", FAMILY_CORE, SOAK_CONTROL, 2, fault_wipe },
	{ "disk-full", FAMILY_CORE, SOAK_CONTROL, 2, fault_disk_full },
	{ "link", FAMILY_CORE, SOAK_CONTROL, 6, fault_link },
	{ "power", FAMILY_CORE, SOAK_CONTROL, 1, fault_power_loss },
	{ "reload", FAMILY_ENTRY, SOAK_CONTROL, 1, fault_reload },
	{ "kill", FAMILY_ENTRY, SOAK_ENTRY, 2, fault_kill },
	{ "pause", FAMILY_ENTRY, SOAK_ENTRY, 1, fault_pause },
	{ "terminate", FAMILY_ENTRY, SOAK_ENTRY, 3, fault_terminate },
	{ "roll", FAMILY_ENTRY, SOAK_ENTRY, 3, fault_rolling_restart },
	{ "reload", FAMILY_ENTRY, SOAK_ENTRY, 3, fault_reload },
	{ "kill", FAMILY_AGENT, SOAK_AGENT, 3, fault_kill },
	{ "pause", FAMILY_AGENT, SOAK_AGENT, 3, fault_pause },
	{ "terminate", FAMILY_AGENT, SOAK_AGENT, 2, fault_terminate },
	{ "roll", FAMILY_AGENT, SOAK_AGENT, 1, fault_rolling_restart },
	{ "reload", FAMILY_AGENT, SOAK_AGENT, 1, fault_reload },
	{ "reborn", FAMILY_AGENT, SOAK_WORKER, 4, fault_worker_restart },
};

static const struct fault_kind *draw_kind(struct soak_faults *faults)
{
	uint32_t sum = 0;
	uint32_t at;

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (kinds[i].family & faults->families)
			sum += kinds[i].weight;
	if (!sum)
		return NULL;
	at = (uint32_t)g_rand_int_range(faults->random, 0, (gint)sum);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (!(kinds[i].family & faults->families))
			continue;
		if (at < kinds[i].weight)
			return &kinds[i];
		at -= kinds[i].weight;
	}
	return NULL;
}

static void fault_begin(struct soak_faults *faults)
{
	const struct fault_kind *kind = draw_kind(faults);
	struct soak_proc *vm;

	if (!kind)
		return;
	vm = soak_proc_at(
		faults->soak, kind->role,
		(uint32_t)g_rand_int_range(faults->random, 0,
					   (gint)soak_nr_procs(faults->soak,
							       kind->role)));
	if (vm->state != VM_RUNS || vm->limited_until_ms)
		return;
	if (kind->family == FAMILY_CORE &&
	    soak_now_ms() < faults->core_exclusive_until_ms)
		return;
	soak_note("fault %s at %s", kind->name, tb_proc_name(vm->proc));
	faults->soak->stats.nr_faults++;
	kind->begin(faults, vm);
}

/* ---- time ---- */

static void series_tick(struct soak_faults *faults, guint i)
{
	struct series *series =
		&g_array_index(faults->series, struct series, i);
	struct soak_proc *vm;

	if (soak_now_ms() < series->next_ms)
		return;
	vm = soak_proc_at(faults->soak, series->role, series->next++);
	if (!vm) {
		g_array_remove_index(faults->series, i);
		return;
	}
	series->next_ms = soak_now_ms() + series->gap_ms;
	if (vm->state != VM_RUNS ||
	    (vm->role == SOAK_CONTROL &&
	     soak_now_ms() < faults->core_exclusive_until_ms))
		return;
	soak_note("series: %s at %s",
		  series->inject == proc_fill_disk ? "disk-full" : "terminate",
		  tb_proc_name(vm->proc));
	series->inject(faults, vm);
}

static void links_tick(struct soak_faults *faults)
{
	for (uint32_t i = 0; i < TB_MAX_CONTROLS; i++) {
		struct link_fault *link = &faults->links[i];

		if (!link->until_ms ||
		    (!faults->over && soak_now_ms() < link->until_ms))
			continue;
		link->until_ms = 0;
		tb_proc_fault(testbed_control(faults->soak->tb, i), "heal");
		core_faults(faults->soak, false);
	}
}

static void phase_begin(struct soak_faults *faults)
{
	const struct phase *phase = &phases[g_rand_int_range(
		faults->random, 0, G_N_ELEMENTS(phases))];

	faults->families = phase->families;
	faults->phase_end_ms = soak_now_ms() + phase->duration_ms;
	soak_note("phase %u for %u ms", phase->families, phase->duration_ms);
}

static gboolean faults_tick(gpointer data)
{
	struct soak_faults *faults = data;
	struct soak *soak = faults->soak;
	/* A larger site has as many faults a machine. */
	uint32_t nr = 1 + soak->shape->nr_workers / 12;

	for (guint i = 0; i < soak->vms->len; i++)
		vm_tick(faults, soak->vms->pdata[i]);
	links_tick(faults);
	if (faults->over)
		return G_SOURCE_CONTINUE;
	for (guint i = faults->series->len; i-- > 0;)
		series_tick(faults, i);
	if (soak_now_ms() >= faults->phase_end_ms)
		phase_begin(faults);
	if (soak_now_ms() < faults->next_ms)
		return G_SOURCE_CONTINUE;
	faults->next_ms = draw_ms(faults, GAP_MIN_MS, GAP_MAX_MS);
	if (faults->families & FAMILY_AGENT)
		for (uint32_t i = 1; i < nr; i++)
			fault_begin(faults);
	fault_begin(faults);
	return G_SOURCE_CONTINUE;
}

void soak_faults_start(struct soak *soak)
{
	struct soak_faults *faults = g_new0(struct soak_faults, 1);

	faults->soak = soak;
	faults->random = g_rand_new_with_seed((guint32)soak->seed);
	faults->series = g_array_new(FALSE, FALSE, sizeof(struct series));
	faults->phase_end_ms = soak_now_ms() + FIRST_FAULT_DELAY_MS;
	faults->tick = g_timeout_add(TICK_MS, faults_tick, faults);
	soak->faults = faults;
}

void soak_faults_end(struct soak *soak)
{
	soak->faults->over = true;
	g_array_set_size(soak->faults->series, 0);
}

bool soak_faults_active(const struct soak *soak)
{
	for (guint i = 0; i < soak->vms->len; i++)
		if (((struct soak_proc *)soak->vms->pdata[i])->state != VM_RUNS)
			return true;
	return false;
}

void soak_faults_free(struct soak *soak)
{
	g_source_remove(soak->faults->tick);
	g_array_unref(soak->faults->series);
	g_rand_free(soak->faults->random);
	g_free(soak->faults);
}
