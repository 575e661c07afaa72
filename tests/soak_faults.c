/**
 * @file soak_faults.c
 * Injects faults from outside the processes: signals, link faults, limits of
 * file sizes and lost disks. Each phase of a run draws faults that hit certain
 * roles; a series hits the processes of a role one by one, across phases. In
 * the first phase, workers leave calls unanswered while others are lost.
 */

#include <signal.h>
#include <string.h>

#include "soak.h"

#define TICK_MS 40
#define FAULT_GAP_MIN_MS 100 /* between two faults */
#define FAULT_GAP_MAX_MS 500
#define FIRST_FAULT_DELAY_MS 2500 /* from the start until the first fault */
#define DOWN_MIN_MS 100
#define DOWN_MAX_MS 3000
#define PAUSE_MAX_MS 6000
#define LINK_MAX_MS 4000
#define ROLL_GAP_MAX_MS 3000 /* between processes of a rolling restart */
#define FILE_LIMIT_MAX_KIB 256
#define LIMIT_MAX_MS 4000
#define DISK_FULL_GAP_MS 2500 /* between disks that fill up in turn */
#define LOST_MIN_MS 10000 /* until a lost worker is started again */
#define LOST_MAX_MS 14000
#define LOSS_GAP_MS 1500 /* from the phase's start, and between two losses */
#define VMS_PER_LOSS 10 /* one silent and one lost worker among so many VMs */
#define WORKER_EXIT_MS 1000 /* until a worker that a SIGTERM ends is killed */
/* Longest effect of a fault that the worker itself ends. */
#define REBORN_MS 1000
#define UNHEALTHY_MS 5000

/* Group of roles that a fault hits. */
enum family {
	FAMILY_CORE = 1, /* control replicas */
	FAMILY_ENTRY = 2,
	FAMILY_AGENT = 4, /* agents and workers */
	FAMILY_WORKER = 8, /* silent and lost workers */
};

struct phase {
	uint32_t families;
	uint32_t duration_ms;
};

/*
 * Phase after the one with silent and lost workers. Limits that hold only while
 * the core is stable are judged SOAK_CONTACT_MS after its last fault, and an
 * order has SOAK_ACK_MS, so faults of the other roles show a late
 * acknowledgement only in a longer phase without faults of the core. Faults of
 * the core last up to PAUSE_MAX_MS beyond their phase, so only the first phases
 * are certain to have none.
 */
static const struct phase stable_core_phase = { FAMILY_ENTRY | FAMILY_AGENT,
						SOAK_STABLE_CORE_MS };

/*
 * Drawn at random after these two phases. The first drawn one is one of the
 * first CORE_PHASES, so that the core has faults in the shortest run, too.
 */
#define CORE_PHASES 3
static const struct phase phases[] = {
	{ FAMILY_CORE, 5000 },
	{ FAMILY_CORE | FAMILY_ENTRY, 6000 },
	{ FAMILY_CORE | FAMILY_ENTRY | FAMILY_AGENT, 6000 },
	{ FAMILY_ENTRY, 5000 },
	{ FAMILY_AGENT, 5000 },
	{ FAMILY_ENTRY | FAMILY_AGENT, SOAK_STABLE_CORE_MS },
	{ 0, 4000 },
};

struct soak_faults;

/* A fault that hits the processes of a role one after the other. */
struct series {
	void (*inject)(struct soak_faults *faults, struct soak_proc *proc);
	enum soak_role role;
	uint32_t next; /* index of the next process */
	int64_t next_ms;
	uint32_t gap_ms;
};

struct link_fault {
	int64_t until_ms; /* end of the fault, 0: no fault */
};

struct soak_faults {
	struct soak *soak;
	GRand *random;
	guint tick;
	uint32_t families;
	uint32_t nr_phases; /* phases that have begun */
	int64_t phase_end_ms;
	int64_t next_ms;
	int64_t next_loss_ms; /* no worker is lost before */
	int64_t core_exclusive_until_ms; /* until then, no other core fault */
	GArray *series; /* struct series */
	struct link_fault links[TB_MAX_CONTROLS];
	bool over; /* no further faults are injected */
	int64_t started_us;
	int64_t ended_us;
};

static int64_t draw_time_ms(struct soak_faults *faults, uint32_t min_ms,
			    uint32_t max_ms)
{
	return soak_now_ms() +
	       g_rand_int_range(faults->random, (gint)min_ms, (gint)max_ms + 1);
}

/* ---- states of a process ---- */

static void core_fault_mark(struct soak *soak, bool begin)
{
	if (begin) {
		if (!soak->nr_core_faults++)
			soak_span_begin(soak->core_faults);
	} else if (!--soak->nr_core_faults) {
		soak_span_end(soak->core_faults);
	}
}

static void proc_interrupt(struct soak *soak, struct soak_proc *proc,
			   enum soak_proc_state state, int64_t until_ms)
{
	if (proc->state == PROC_RUNNING) {
		soak_span_begin(proc->disturbances);
		if (proc->role == SOAK_CONTROL)
			core_fault_mark(soak, true);
	}
	if (state == PROC_PAUSED || state == PROC_DOWN)
		soak_span_begin(proc->downtime);
	proc->state = state;
	proc->until_ms = until_ms;
}

static void proc_recovered(struct soak *soak, struct soak_proc *proc)
{
	proc->state = PROC_RUNNING;
	proc->until_ms = 0;
	proc->sigterm_ms = 0;
	soak_span_end(proc->downtime);
	soak_span_end(proc->disturbances);
	if (proc->role == SOAK_CONTROL)
		core_fault_mark(soak, false);
}

static void proc_kill(struct soak_faults *faults, struct soak_proc *proc,
		      int64_t until_ms)
{
	proc_interrupt(faults->soak, proc, PROC_DOWN, until_ms);
	tb_proc_signal(proc->handle, SIGKILL);
}

static void proc_lift_limit(struct soak *soak, struct soak_proc *proc)
{
	if (!proc->limited_until_ms)
		return;
	if (tb_proc_pid(proc->handle))
		tb_proc_limit_files(proc->handle, 0);
	proc->limited_until_ms = 0;
	core_fault_mark(soak, false);
}

static void proc_restart(struct soak *soak, struct soak_proc *proc)
{
	if (proc->wipe)
		tb_proc_wipe_disk(proc->handle);
	proc->wipe = false;
	proc_lift_limit(soak, proc);
	tb_proc_restart(proc->handle);
	proc->nr_starts++;
	proc_recovered(soak, proc);
}

static void proc_terminate(struct soak_faults *faults, struct soak_proc *proc)
{
	proc->sigterm_ms = soak_now_ms();
	proc_interrupt(faults->soak, proc, PROC_TERMINATING,
		       proc->sigterm_ms + SOAK_GRACE_S * INT64_C(1000));
	tb_proc_signal(proc->handle, SIGTERM);
}

/* Reports a process that ended though no fault ended it. */
static void proc_exited(struct soak_faults *faults, struct soak_proc *proc,
			int exit_code)
{
	soak_violation(faults->soak, "FAULT: %s ended by itself with code %d",
		       tb_proc_name(proc->handle), exit_code);
	proc_interrupt(faults->soak, proc, PROC_DOWN,
		       draw_time_ms(faults, DOWN_MIN_MS, DOWN_MAX_MS));
}

/* Reports a process that didn't end within its grace period. */
static void proc_missed_grace(struct soak *soak, struct soak_proc *proc)
{
	soak_violation_if_stable(soak, proc->sigterm_ms * 1000,
				 "FAULT: %s hasn't ended %d s after a SIGTERM",
				 tb_proc_name(proc->handle), SOAK_GRACE_S);
	tb_proc_signal(proc->handle, SIGKILL);
}

static void proc_tick(struct soak_faults *faults, struct soak_proc *proc)
{
	bool due = faults->over || soak_now_ms() >= proc->until_ms;
	int exit_code;

	switch (proc->state) {
	case PROC_RUNNING:
		if (tb_proc_ended(proc->handle, &exit_code))
			proc_exited(faults, proc, exit_code);
		else if (faults->over ||
			 soak_now_ms() >= proc->limited_until_ms)
			proc_lift_limit(faults->soak, proc);
		break;
	case PROC_PAUSED:
		if (!due)
			break;
		tb_proc_signal(proc->handle, SIGCONT);
		proc_recovered(faults->soak, proc);
		break;
	case PROC_TERMINATING:
		if (!tb_proc_ended(proc->handle, &exit_code)) {
			if (soak_now_ms() >= proc->until_ms)
				proc_missed_grace(faults->soak, proc);
			break;
		}
		/*
		 * Its listener is closed already: new calls are not sent, so
		 * this is no downtime in which calls may stay unanswered.
		 */
		proc->state = PROC_DOWN;
		proc->until_ms =
			draw_time_ms(faults, DOWN_MIN_MS, DOWN_MAX_MS / 3);
		break;
	case PROC_DOWN:
		if (due)
			proc_restart(faults->soak, proc);
		break;
	}
}

/* ---- kinds of faults ---- */

struct fault_kind {
	const char *name;
	uint32_t family; /* enum family */
	enum soak_role role;
	uint32_t weight;
	void (*begin)(struct soak_faults *faults, struct soak_proc *proc);
};

static void fault_kill(struct soak_faults *faults, struct soak_proc *proc)
{
	proc_kill(faults, proc, draw_time_ms(faults, DOWN_MIN_MS, DOWN_MAX_MS));
}

static void fault_pause(struct soak_faults *faults, struct soak_proc *proc)
{
	proc_interrupt(faults->soak, proc, PROC_PAUSED,
		       draw_time_ms(faults, DOWN_MIN_MS, PAUSE_MAX_MS));
	tb_proc_signal(proc->handle, SIGSTOP);
}

static void fault_terminate(struct soak_faults *faults, struct soak_proc *proc)
{
	proc_terminate(faults, proc);
}

/* Changes the node file (settings), sends a SIGHUP, does both or neither. */
static void fault_reload(struct soak_faults *faults, struct soak_proc *proc)
{
	if (soak_chance(faults->random, 70))
		tb_proc_rotate_controls(proc->handle,
					g_rand_int(faults->random) % 16);
	if (soak_chance(faults->random, 80))
		tb_proc_signal(proc->handle, SIGHUP);
}

static void fault_rolling_restart(struct soak_faults *faults,
				  struct soak_proc *proc)
{
	struct series series = {
		.inject = proc_terminate,
		.role = proc->role,
		.next_ms = soak_now_ms(),
		.gap_ms = (uint32_t)g_rand_int_range(faults->random, 300,
						     ROLL_GAP_MAX_MS),
	};

	g_array_append_val(faults->series, series);
}

static void fault_kill_all(struct soak_faults *faults, struct soak_proc *proc)
{
	int64_t until_ms = draw_time_ms(faults, DOWN_MIN_MS, DOWN_MAX_MS);

	for (uint32_t i = 0; i < soak_nr_procs(faults->soak, proc->role); i++) {
		struct soak_proc *other =
			soak_proc_at(faults->soak, proc->role, i);

		if (other->state != PROC_DOWN)
			proc_kill(faults, other, until_ms);
	}
}

/* Kills all processes of the system at once; the workers keep running. */
static void fault_power_loss(struct soak_faults *faults, struct soak_proc *proc)
{
	for (enum soak_role role = SOAK_CONTROL; role <= SOAK_AGENT; role++)
		fault_kill_all(faults, soak_proc_at(faults->soak, role, 0));
}

/*
 * Wipes the disk of a replica if the other replicas have caught up, since the
 * platform loses one disk at a time.
 */
static void fault_wipe(struct soak_faults *faults, struct soak_proc *proc)
{
	if (faults->soak->nr_core_faults ||
	    soak_core_fault_free_ms(faults->soak) < SOAK_CATCH_UP_MS)
		return;
	proc->wipe = true;
	fault_kill(faults, proc);
	faults->core_exclusive_until_ms =
		soak_now_ms() + DOWN_MAX_MS + SOAK_CATCH_UP_MS;
	/* Sometimes all other replicas lose power, but keep their disks. */
	if (soak_chance(faults->random, 40))
		fault_kill_all(faults, proc);
}

/*
 * Limits the size of all files that the process writes. Its port file, written
 * at its start, isn't on its disk, so starting processes get no limit.
 */
static void proc_limit(struct soak_faults *faults, struct soak_proc *proc,
		       int64_t until_ms, uint64_t bytes)
{
	if (!tb_proc_http(proc->handle)[0])
		return;
	core_fault_mark(faults->soak, true);
	proc->limited_until_ms = until_ms;
	tb_proc_limit_files(proc->handle, bytes);
}

/* Makes every write fail for half of the time until the next disk's turn. */
static void proc_fill_disk(struct soak_faults *faults, struct soak_proc *proc)
{
	if (!proc->limited_until_ms)
		proc_limit(faults, proc, soak_now_ms() + DISK_FULL_GAP_MS / 2,
			   1);
}

/*
 * Limits the files of the process to some KiB. If it is the first of its role,
 * the disks of all processes of the role fill up in turn instead.
 */
static void fault_disk_full(struct soak_faults *faults, struct soak_proc *proc)
{
	struct series series = {
		.inject = proc_fill_disk,
		.role = proc->role,
		.next = 1,
		.next_ms = soak_now_ms() + DISK_FULL_GAP_MS,
		.gap_ms = DISK_FULL_GAP_MS,
	};
	int64_t until_ms = draw_time_ms(faults, DOWN_MIN_MS, LIMIT_MAX_MS);
	uint64_t kib = (uint64_t)g_rand_int_range(faults->random, 1,
						  FILE_LIMIT_MAX_KIB);

	if (proc != soak_proc_at(faults->soak, proc->role, 0)) {
		proc_limit(faults, proc, until_ms, kib << 10);
		return;
	}
	proc_fill_disk(faults, proc);
	g_array_append_val(faults->series, series);
}

static void fault_link(struct soak_faults *faults, struct soak_proc *proc)
{
	static const char *const commands[] = {
		"delay 60", "silence",	"reset",	   "cut in",
		"cut out",  "cut both", "stall 50000 300",
	};
	const char *command = commands[g_rand_int_range(
		faults->random, 0, G_N_ELEMENTS(commands))];
	bool is_instant = !strcmp(command, "silence") ||
			  !strcmp(command, "reset");

	for (uint32_t i = 0; i < soak_nr_procs(faults->soak, SOAK_CONTROL);
	     i++) {
		if (soak_proc_at(faults->soak, SOAK_CONTROL, i) != proc ||
		    faults->links[i].until_ms)
			continue;
		soak_note("link of %s: %s", tb_proc_name(proc->handle),
			  command);
		tb_proc_fault(proc->handle, command);
		core_fault_mark(faults->soak, true);
		faults->links[i].until_ms =
			is_instant ?
				soak_now_ms() :
				draw_time_ms(faults, DOWN_MIN_MS, LINK_MAX_MS);
	}
}

/* Records a fault that ends by itself. */
static void proc_disturbed(struct soak_proc *proc, uint32_t duration_ms)
{
	struct soak_span span = { .begin_us = g_get_monotonic_time() };

	span.end_us = span.begin_us + duration_ms * INT64_C(1000);
	g_array_append_val(proc->disturbances, span);
}

/* Ends the worker and starts a new incarnation under the same name. */
static void fault_worker_restart(struct soak_faults *faults,
				 struct soak_proc *proc)
{
	proc_disturbed(proc, REBORN_MS);
	tb_proc_signal(proc->handle, SIGHUP);
}

/*
 * The workers of all VMs refuse calls while connections to them are reset, so
 * that a call is sent again and its copy refused (issue 26).
 */
static void fault_workers_unhealthy(struct soak_faults *faults,
				    struct soak_proc *proc)
{
	for (uint32_t i = 0; i < soak_nr_procs(faults->soak, proc->role); i++) {
		struct soak_proc *worker =
			soak_proc_at(faults->soak, proc->role, i);

		proc_disturbed(worker, UNHEALTHY_MS);
		tb_proc_signal(worker->handle, SIGUSR1);
	}
}

/* Makes the worker leave calls unanswered until the end of the phase. */
static void fault_worker_silent(struct soak_faults *faults,
				struct soak_proc *proc)
{
	uint32_t silent_ms = faults->soak->shape->silent_ms;

	proc_disturbed(proc, silent_ms);
	proc->silent_until_ms = soak_now_ms() + silent_ms;
	tb_proc_signal(proc->handle, SIGUSR2);
}

/*
 * Ends the worker; its journal gets the ends of its runs. In half of the cases
 * the VM is lost: its agent is killed, too.
 */
static void fault_worker_lost(struct soak_faults *faults,
			      struct soak_proc *proc)
{
	struct soak *soak = faults->soak;
	int64_t until_ms = draw_time_ms(faults, LOST_MIN_MS, LOST_MAX_MS);
	bool is_vm = soak_chance(faults->random, 50);

	proc_interrupt(soak, proc, PROC_DOWN, until_ms);
	tb_proc_signal(proc->handle, SIGTERM);
	tb_proc_wait(proc->handle, WORKER_EXIT_MS);
	tb_proc_signal(proc->handle, SIGKILL);
	for (uint32_t i = 0; is_vm && i < soak_nr_procs(soak, SOAK_WORKER); i++)
		if (soak_proc_at(soak, SOAK_WORKER, i) == proc)
			proc_kill(faults, soak_proc_at(soak, SOAK_AGENT, i),
				  until_ms);
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
	{ "unhealthy", FAMILY_AGENT, SOAK_WORKER, 2, fault_workers_unhealthy },
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

static void fault_at(struct soak_faults *faults, const struct fault_kind *kind,
		     struct soak_proc *proc)
{
	soak_note("fault %s at %s", kind->name, tb_proc_name(proc->handle));
	faults->soak->stats.nr_faults++;
	kind->begin(faults, proc);
}

static void fault_begin(struct soak_faults *faults)
{
	const struct fault_kind *kind = draw_kind(faults);
	struct soak_proc *proc;

	if (!kind)
		return;
	proc = soak_proc_at(
		faults->soak, kind->role,
		(uint32_t)g_rand_int_range(faults->random, 0,
					   (gint)soak_nr_procs(faults->soak,
							       kind->role)));
	if (proc->state != PROC_RUNNING || proc->limited_until_ms)
		return;
	if (kind->family == FAMILY_CORE &&
	    soak_now_ms() < faults->core_exclusive_until_ms)
		return;
	fault_at(faults, kind, proc);
}

static bool worker_is_undisturbed(const struct soak_proc *proc)
{
	return proc->state == PROC_RUNNING &&
	       soak_now_ms() >= proc->silent_until_ms;
}

/* Returns a worker without a fault, NULL if three draws find none. */
static struct soak_proc *draw_worker(struct soak_faults *faults)
{
	uint32_t nr = soak_nr_procs(faults->soak, SOAK_WORKER);

	for (uint32_t i = 0; i < 3; i++) {
		struct soak_proc *proc =
			soak_proc_at(faults->soak, SOAK_WORKER,
				     (uint32_t)g_rand_int_range(faults->random,
								0, (gint)nr));

		if (worker_is_undisturbed(proc))
			return proc;
	}
	return NULL;
}

/*
 * Returns the worker without a fault that runs the most lasting tasks for which
 * other workers have room, so that LOST is judged.
 */
static struct soak_proc *busiest_worker(struct soak_faults *faults)
{
	struct soak *soak = faults->soak;
	GHashTable *steady = soak_journal_steady(soak);
	struct soak_proc *busiest = NULL;
	guint most = 0;

	for (uint32_t i = 0; i < soak_nr_procs(soak, SOAK_WORKER); i++) {
		struct soak_proc *proc = soak_proc_at(soak, SOAK_WORKER, i);
		guint nr = GPOINTER_TO_UINT(g_hash_table_lookup(
			steady, tb_proc_name(proc->handle)));

		if (!worker_is_undisturbed(proc) || nr <= most)
			continue;
		busiest = proc;
		most = nr;
	}
	g_hash_table_unref(steady);
	return busiest;
}

/* Keeps one worker in VMS_PER_LOSS silent and one lost, at least one each. */
static void workers_tick(struct soak_faults *faults)
{
	static const struct fault_kind silent = { "silent", FAMILY_WORKER,
						  SOAK_WORKER, 0,
						  fault_worker_silent };
	static const struct fault_kind lost = { "lost", FAMILY_WORKER,
						SOAK_WORKER, 0,
						fault_worker_lost };
	const struct soak *soak = faults->soak;
	uint32_t nr = MAX(1, soak->shape->nr_workers / VMS_PER_LOSS);
	uint32_t nr_silent = 0;
	uint32_t nr_lost = 0;
	const struct fault_kind *kind;
	struct soak_proc *proc;

	for (uint32_t i = 0; i < soak->shape->nr_workers; i++) {
		proc = soak_proc_at(soak, SOAK_WORKER, i);
		nr_silent += soak_now_ms() < proc->silent_until_ms;
		nr_lost += proc->state == PROC_DOWN;
	}
	if (nr_silent < nr) {
		kind = &silent;
		proc = draw_worker(faults);
	} else if (nr_lost < nr && soak_now_ms() >= faults->next_loss_ms &&
		   soak_now_ms() + LOST_MIN_MS < faults->phase_end_ms) {
		kind = &lost;
		proc = busiest_worker(faults);
		faults->next_loss_ms = soak_now_ms() + LOSS_GAP_MS;
	} else {
		return;
	}
	if (proc)
		fault_at(faults, kind, proc);
}

/* ---- timers ---- */

static void series_tick(struct soak_faults *faults, guint i)
{
	struct series *series =
		&g_array_index(faults->series, struct series, i);
	struct soak_proc *proc;

	if (soak_now_ms() < series->next_ms)
		return;
	proc = soak_proc_at(faults->soak, series->role, series->next++);
	if (!proc) {
		g_array_remove_index(faults->series, i);
		return;
	}
	series->next_ms = soak_now_ms() + series->gap_ms;
	if (proc->state != PROC_RUNNING ||
	    (proc->role == SOAK_CONTROL &&
	     soak_now_ms() < faults->core_exclusive_until_ms))
		return;
	soak_note("series: %s at %s",
		  series->inject == proc_fill_disk ? "disk-full" : "terminate",
		  tb_proc_name(proc->handle));
	series->inject(faults, proc);
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
		core_fault_mark(faults->soak, false);
	}
}

static void phase_begin(struct soak_faults *faults)
{
	const struct phase silent_phase = { FAMILY_WORKER,
					    faults->soak->shape->silent_ms };
	const struct phase *phase = &silent_phase;

	if (faults->nr_phases == 1)
		phase = &stable_core_phase;
	else if (faults->nr_phases)
		phase = &phases[g_rand_int_range(faults->random, 0,
						 faults->nr_phases == 2 ?
							 CORE_PHASES :
							 G_N_ELEMENTS(phases))];
	else
		faults->next_loss_ms = soak_now_ms() + LOSS_GAP_MS;
	faults->nr_phases++;
	faults->families = phase->families;
	faults->phase_end_ms = soak_now_ms() + phase->duration_ms;
	soak_note("phase %u for %u ms", phase->families, phase->duration_ms);
}

static gboolean faults_tick(gpointer data)
{
	struct soak_faults *faults = data;
	struct soak *soak = faults->soak;
	/* The number of faults per VM is the same on sites of all sizes. */
	uint32_t nr = 1 + soak->shape->nr_workers / 12;

	for (guint i = 0; i < soak->procs->len; i++)
		proc_tick(faults, soak->procs->pdata[i]);
	links_tick(faults);
	if (faults->over)
		return G_SOURCE_CONTINUE;
	for (guint i = faults->series->len; i-- > 0;)
		series_tick(faults, i);
	if (soak_now_ms() >= faults->phase_end_ms)
		phase_begin(faults);
	if (faults->families & FAMILY_WORKER)
		workers_tick(faults);
	if (soak_now_ms() < faults->next_ms)
		return G_SOURCE_CONTINUE;
	faults->next_ms =
		draw_time_ms(faults, FAULT_GAP_MIN_MS, FAULT_GAP_MAX_MS);
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
	faults->started_us = g_get_monotonic_time();
	faults->phase_end_ms = soak_now_ms() + FIRST_FAULT_DELAY_MS;
	faults->tick = g_timeout_add(TICK_MS, faults_tick, faults);
	soak->faults = faults;
}

void soak_faults_end(struct soak *soak)
{
	soak->faults->over = true;
	soak->faults->ended_us = g_get_monotonic_time();
	g_array_set_size(soak->faults->series, 0);
}

bool soak_faults_only_workers(const struct soak *soak)
{
	return !soak->faults || soak->faults->nr_phases <= 1;
}

bool soak_faults_active(const struct soak *soak)
{
	for (guint i = 0; i < soak->procs->len; i++)
		if (((struct soak_proc *)soak->procs->pdata[i])->state !=
		    PROC_RUNNING)
			return true;
	return false;
}

uint32_t soak_faults_stable_ms(const struct soak *soak)
{
	const struct soak_faults *faults = soak->faults;
	int64_t from_us = faults->started_us;
	int64_t longest_us = 0;

	for (guint i = 0; i < soak->core_faults->len; i++) {
		const struct soak_span *span =
			&g_array_index(soak->core_faults, struct soak_span, i);

		longest_us =
			MAX(longest_us,
			    MIN(span->begin_us, faults->ended_us) - from_us);
		from_us = MAX(from_us, span->end_us);
	}
	longest_us = MAX(longest_us, faults->ended_us - from_us);
	return (uint32_t)(longest_us / 1000);
}

void soak_faults_free(struct soak *soak)
{
	g_source_remove(soak->faults->tick);
	g_array_unref(soak->faults->series);
	g_rand_free(soak->faults->random);
	g_free(soak->faults);
}
