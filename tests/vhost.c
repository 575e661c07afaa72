#include "vhost.h"

#include <stdio.h>
#include <string.h>

#include "schema.h"
#include "tunables.h"

struct vconn {
	struct vmachine *end[2]; /* end 0 dialled */
	uint32_t life[2]; /* of each end's process */
	uint64_t last_us[2]; /* latest delivery towards that end */
	char dialled[ADDRESS_BYTES];
	bool open[2]; /* as each end sees it */
	bool silent; /* delivers nothing any more */
};

struct vmachine {
	struct vhost *vhost;
	struct node *node;
	uint32_t life; /* number of boots and kills */
	bool paused;
	GQueue waiting; /* events held while paused */
	char name[NAME_BYTES];
	char zone[NAME_BYTES];
	char address[ADDRESS_BYTES];
	GHashTable *conns; /* uint64_t * (node_id) -> struct sim_conn * */
	GHashTable *paths; /* struct sim_machine * -> struct sim_path * */
};

enum vevent_kind {
	EVENT_MESSAGE,
	EVENT_ACCEPT,
	EVENT_UP,
	EVENT_DOWN,
	EVENT_DIAL_FAILED,
	EVENT_CALL,
};

struct vevent {
	uint64_t due_us;
	uint64_t seq;
	enum vevent_kind kind;
	struct vmachine *to;
	uint32_t life;
	struct vconn *conn;
	uint32_t side; /* the receiver's end of conn */
	struct record message;
	char address[ADDRESS_BYTES];
	void (*fn)(void *data);
	void *data;
};

struct vhost {
	GRand *rand;
	uint64_t now_us;
	uint64_t seq;
	GSequence *events;
	GPtrArray *machines;
	GPtrArray *conns;
	GPtrArray *log;
	struct vpath path;
	bool verbose;
};

static gint vevent_compare(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct vevent *x = a;
	const struct vevent *y = b;

	if (x->due_us != y->due_us)
		return x->due_us < y->due_us ? -1 : 1;
	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

static void vevent_free(void *data)
{
	struct vevent *event = data;

	record_unref(event->message);
	g_free(event);
}

static void vhost_post(struct vhost *vhost, struct vevent *event)
{
	event->seq = vhost->seq++;
	event->life = event->to->life;
	g_sequence_insert_sorted(vhost->events, event, vevent_compare, NULL);
}

static struct vevent *vevent_new(struct vmachine *to, enum vevent_kind kind,
				 uint64_t due_us)
{
	struct vevent *event = g_new0(struct vevent, 1);

	event->kind = kind;
	event->to = to;
	event->due_us = due_us;
	return event;
}

static bool chance(struct vhost *vhost, uint32_t ppm)
{
	return ppm && vhost_random(vhost) % 1000000 < ppm;
}

static uint64_t path_delay_us(struct vhost *vhost, const struct vpath *path)
{
	uint64_t delay_us = path->delay_us;

	if (path->jitter_us)
		delay_us += vhost_random(vhost) % path->jitter_us;
	if (chance(vhost, path->stall_ppm))
		delay_us += path->stall_us;
	return delay_us;
}

static const struct vpath *path_of(struct vmachine *from, struct vmachine *to)
{
	const struct vpath *path = g_hash_table_lookup(from->paths, to);

	return path ? path : &from->vhost->path;
}

static void vhost_deliver(struct vconn *conn, uint32_t side,
			  struct record message)
{
	struct vmachine *from = conn->end[!side];
	struct vmachine *to = conn->end[side];
	struct vhost *vhost = to->vhost;
	const struct vpath *path = path_of(from, to);
	struct vevent *event;
	uint64_t due_us = vhost->now_us + path_delay_us(vhost, path);

	if (!path->unordered)
		due_us = MAX(due_us, conn->last_us[side]);
	conn->last_us[side] = due_us;
	event = vevent_new(to, EVENT_MESSAGE, due_us);
	event->conn = conn;
	event->side = side;
	event->message = record_ref(message);
	vhost_post(vhost, event);
}

static void machine_send(void *ctx, uint64_t node_id, uint32_t type,
			 const void *body)
{
	struct vmachine *machine = ctx;
	struct vconn *conn = g_hash_table_lookup(machine->conns, &node_id);
	struct record message = { type, NULL };
	const struct vpath *path;
	uint32_t side;

	if (!conn)
		return;
	side = conn->end[0] == machine;
	path = path_of(machine, conn->end[side]);
	if (conn->silent || path->cut || chance(machine->vhost, path->drop_ppm))
		return;
	message.body = schema_dup(type, body);
	vhost_deliver(conn, side, message);
	if (chance(machine->vhost, path->duplicate_ppm))
		vhost_deliver(conn, side, message);
	record_unref(message);
}

static struct vmachine *vhost_find(struct vhost *vhost, const char *address)
{
	for (guint i = 0; i < vhost->machines->len; i++) {
		struct vmachine *machine =
			g_ptr_array_index(vhost->machines, i);

		if (machine->node && !strcmp(machine->address, address))
			return machine;
	}
	return NULL;
}

static void machine_dial_failed(struct vmachine *machine, const char *address,
				uint64_t delay_us)
{
	struct vevent *event = vevent_new(machine, EVENT_DIAL_FAILED,
					  machine->vhost->now_us + delay_us);

	TEXT_SET(event->address, address);
	vhost_post(machine->vhost, event);
}

static void machine_dial(void *ctx, const char *address)
{
	struct vmachine *machine = ctx;
	struct vhost *vhost = machine->vhost;
	struct vmachine *peer = vhost_find(vhost, address);
	struct vconn *conn;
	struct vevent *event;

	if (!peer || peer == machine) {
		machine_dial_failed(machine, address, 1000);
		return;
	}
	if (path_of(machine, peer)->cut || path_of(peer, machine)->cut) {
		machine_dial_failed(machine, address,
				    LINK_DIAL_TIMEOUT_MS * 1000ull);
		return;
	}
	conn = g_new0(struct vconn, 1);
	conn->end[0] = machine;
	conn->end[1] = peer;
	conn->life[0] = machine->life;
	conn->life[1] = peer->life;
	TEXT_SET(conn->dialled, address);
	g_ptr_array_add(vhost->conns, conn);
	event = vevent_new(
		peer, EVENT_ACCEPT,
		vhost->now_us + path_delay_us(vhost, path_of(machine, peer)));
	event->conn = conn;
	event->side = 1;
	vhost_post(vhost, event);
}

/* Closes one end; the other one learns of it unless no message reaches it. */
static void conn_hang_up(struct vconn *conn, uint32_t side)
{
	struct vmachine *peer = conn->end[!side];
	struct vhost *vhost = peer->vhost;
	struct vevent *event;

	conn->open[side] = false;
	if (conn->silent || path_of(conn->end[side], peer)->cut ||
	    !conn->open[!side] || conn->life[!side] != peer->life)
		return;
	event = vevent_new(
		peer, EVENT_DOWN,
		MAX(conn->last_us[!side],
		    vhost->now_us + path_of(conn->end[side], peer)->delay_us));
	event->conn = conn;
	event->side = !side;
	vhost_post(vhost, event);
}

static void machine_close_peer(void *ctx, uint64_t node_id)
{
	struct vmachine *machine = ctx;
	struct vconn *conn = g_hash_table_lookup(machine->conns, &node_id);

	if (!conn)
		return;
	g_hash_table_remove(machine->conns, &node_id);
	conn_hang_up(conn, conn->end[1] == machine);
}

static uint64_t machine_random(void *ctx)
{
	struct vmachine *machine = ctx;

	return vhost_random(machine->vhost);
}

static void machine_log(void *ctx, const char *line)
{
	struct vmachine *machine = ctx;
	struct vhost *vhost = machine->vhost;

	g_ptr_array_add(vhost->log, g_strdup(line));
	if (vhost->verbose)
		fprintf(stderr, "%10" G_GUINT64_FORMAT " %s %s\n",
			vhost->now_us, machine->name, line);
}

static const struct host_ops vhost_ops = {
	.send = machine_send,
	.dial = machine_dial,
	.close_peer = machine_close_peer,
	.random_u64 = machine_random,
	.log_line = machine_log,
};

/* Opens one end of a connection; it replaces an older one to the same peer. */
static void machine_connect(struct vmachine *machine, struct vconn *conn,
			    uint32_t side)
{
	struct hello peer = conn->end[!side]->node->self;
	struct vconn *old = g_hash_table_lookup(machine->conns, &peer.node_id);

	conn->open[side] = true;
	g_hash_table_replace(machine->conns,
			     g_memdup2(&peer.node_id, sizeof(uint64_t)), conn);
	if (old)
		old->open[old->end[1] == machine] = false;
	node_peer_up(machine->node, &peer, side == 0 ? conn->dialled : NULL,
		     machine->vhost->now_us);
}

/* Fails a dial because the process was killed before it could accept. */
static void vhost_refuse(struct vevent *event)
{
	struct vconn *conn = event->conn;

	if (conn->life[0] == conn->end[0]->life)
		machine_dial_failed(conn->end[0], conn->dialled,
				    path_of(event->to, conn->end[0])->delay_us);
}

static void vhost_accept(struct vevent *event)
{
	struct vconn *conn = event->conn;
	struct vmachine *dialler = conn->end[0];
	struct vhost *vhost = dialler->vhost;
	struct vevent *up;

	if (conn->life[0] != dialler->life)
		return;
	machine_connect(event->to, conn, 1);
	up = vevent_new(dialler, EVENT_UP,
			vhost->now_us + path_delay_us(vhost, path_of(event->to,
								     dialler)));
	up->conn = conn;
	conn->last_us[0] = up->due_us;
	vhost_post(vhost, up);
}

static void vhost_up(struct vevent *event)
{
	struct vconn *conn = event->conn;

	if (conn->life[1] != conn->end[1]->life || !conn->open[1]) {
		node_dial_failed(event->to->node, conn->dialled,
				 event->to->vhost->now_us);
		return;
	}
	machine_connect(event->to, conn, 0);
}

static void vhost_down(struct vevent *event)
{
	struct vconn *conn = event->conn;
	GHashTableIter iter;
	void *key;
	void *value;

	if (!conn->open[event->side])
		return;
	conn->open[event->side] = false;
	g_hash_table_iter_init(&iter, event->to->conns);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint64_t node_id = *(uint64_t *)key;

		if (value != conn)
			continue;
		g_hash_table_iter_remove(&iter);
		node_peer_down(event->to->node, node_id,
			       event->to->vhost->now_us);
		break;
	}
}

static void vhost_message(struct vevent *event)
{
	struct vconn *conn = event->conn;
	GHashTableIter iter;
	void *key;
	void *value;
	uint64_t from = 0;

	if (!conn->open[event->side] || conn->silent)
		return;
	g_hash_table_iter_init(&iter, event->to->conns);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (value == conn)
			from = *(uint64_t *)key;
	if (from)
		node_message(event->to->node, from, event->message.type,
			     event->message.body, event->to->vhost->now_us);
}

static void vhost_handle(struct vevent *event)
{
	struct vmachine *machine = event->to;

	if (event->life != machine->life || !machine->node) {
		if (event->kind == EVENT_ACCEPT)
			vhost_refuse(event);
		return;
	}
	switch (event->kind) {
	case EVENT_MESSAGE:
		vhost_message(event);
		break;
	case EVENT_ACCEPT:
		vhost_accept(event);
		break;
	case EVENT_UP:
		vhost_up(event);
		break;
	case EVENT_DOWN:
		vhost_down(event);
		break;
	case EVENT_DIAL_FAILED:
		node_dial_failed(machine->node, event->address,
				 machine->vhost->now_us);
		break;
	case EVENT_CALL:
		node_set_time(machine->node, machine->vhost->now_us);
		event->fn(event->data);
		break;
	}
}

struct vhost *vhost_new(uint64_t seed)
{
	struct vhost *vhost = g_new0(struct vhost, 1);

	vhost->rand = g_rand_new_with_seed((guint32)seed);
	vhost->now_us = 1000000;
	vhost->events = g_sequence_new(vevent_free);
	vhost->machines = g_ptr_array_new();
	vhost->conns = g_ptr_array_new_with_free_func(g_free);
	vhost->log = g_ptr_array_new_with_free_func(g_free);
	vhost->path.delay_us = 500;
	return vhost;
}

void vhost_free(struct vhost *vhost)
{
	/* Kills all before the first is freed, as they notify their peers. */
	for (guint i = 0; i < vhost->machines->len; i++)
		vhost_kill(g_ptr_array_index(vhost->machines, i));
	for (guint i = 0; i < vhost->machines->len; i++) {
		struct vmachine *machine =
			g_ptr_array_index(vhost->machines, i);

		g_hash_table_unref(machine->conns);
		g_hash_table_unref(machine->paths);
		g_queue_clear_full(&machine->waiting, vevent_free);
		g_free(machine);
	}
	g_sequence_free(vhost->events);
	g_ptr_array_unref(vhost->machines);
	g_ptr_array_unref(vhost->conns);
	g_ptr_array_unref(vhost->log);
	g_rand_free(vhost->rand);
	g_free(vhost);
}

uint64_t vhost_now_us(const struct vhost *vhost)
{
	return vhost->now_us;
}

uint64_t vhost_random(struct vhost *vhost)
{
	uint64_t high = g_rand_int(vhost->rand);

	return high << 32 | g_rand_int(vhost->rand);
}

void vhost_set_verbose(struct vhost *vhost, bool verbose)
{
	vhost->verbose = verbose;
}

struct vpath *vhost_default_path(struct vhost *vhost)
{
	return &vhost->path;
}

struct vmachine *vhost_add(struct vhost *vhost, const char *name,
			   const char *zone, const char *address)
{
	struct vmachine *machine = g_new0(struct vmachine, 1);

	machine->vhost = vhost;
	TEXT_SET(machine->name, name);
	TEXT_SET(machine->zone, zone);
	TEXT_SET(machine->address, address);
	g_queue_init(&machine->waiting);
	machine->conns = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, NULL);
	machine->paths = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	g_ptr_array_add(vhost->machines, machine);
	return machine;
}

struct node *vhost_boot(struct vmachine *machine, uint64_t node_id)
{
	struct node_opts opts = { 0 };

	g_assert(!machine->node);
	opts.host = &vhost_ops;
	opts.host_ctx = machine;
	opts.node_id = node_id ? node_id :
				 vhost_random(machine->vhost) >> 12 | 1;
	TEXT_SET(opts.name, machine->name);
	TEXT_SET(opts.zone, machine->zone);
	TEXT_SET(opts.address, machine->address);
	opts.now_us = machine->vhost->now_us;
	machine->life++;
	machine->node = node_new(&opts);
	return machine->node;
}

void vhost_start(struct vmachine *machine)
{
	node_start(machine->node, machine->vhost->now_us);
}

void vhost_kill(struct vmachine *machine)
{
	GHashTableIter iter;
	void *value;
	struct vevent *event;

	if (!machine->node)
		return;
	g_hash_table_iter_init(&iter, machine->conns);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		conn_hang_up(value, ((struct vconn *)value)->end[1] == machine);
	g_hash_table_remove_all(machine->conns);
	while ((event = g_queue_pop_head(&machine->waiting))) {
		if (event->kind == EVENT_ACCEPT)
			vhost_refuse(event);
		vevent_free(event);
	}
	machine->life++;
	machine->paused = false;
	node_free(machine->node);
	machine->node = NULL;
}

void vhost_pause(struct vmachine *machine, bool paused)
{
	struct vevent *event;

	machine->paused = paused;
	while (!paused && (event = g_queue_pop_head(&machine->waiting))) {
		event->due_us = machine->vhost->now_us;
		g_sequence_insert_sorted(machine->vhost->events, event,
					 vevent_compare, NULL);
	}
}

struct node *vhost_node(struct vmachine *machine)
{
	return machine->node;
}

void vhost_shutdown(struct vmachine *machine)
{
	node_shutdown(machine->node, machine->vhost->now_us);
}

struct vpath *vhost_path(struct vmachine *from, struct vmachine *to)
{
	struct vpath *path = g_hash_table_lookup(from->paths, to);

	if (!path) {
		path = g_memdup2(&from->vhost->path, sizeof(*path));
		g_hash_table_insert(from->paths, to, path);
	}
	return path;
}

void vhost_cut(struct vmachine *a, struct vmachine *b, bool cut)
{
	vhost_path(a, b)->cut = cut;
	vhost_path(b, a)->cut = cut;
}

void vhost_silence(struct vmachine *a, struct vmachine *b)
{
	for (guint i = 0; i < a->vhost->conns->len; i++) {
		struct vconn *conn = g_ptr_array_index(a->vhost->conns, i);

		if ((conn->end[0] == a && conn->end[1] == b) ||
		    (conn->end[0] == b && conn->end[1] == a))
			conn->silent = true;
	}
}

void vhost_after(struct vmachine *machine, uint64_t delay_us,
		 void (*fn)(void *data), void *data)
{
	struct vevent *event = vevent_new(machine, EVENT_CALL,
					  machine->vhost->now_us + delay_us);

	event->fn = fn;
	event->data = data;
	vhost_post(machine->vhost, event);
}

/* Returns the machine with the earliest timer, NULL if none is armed. */
static struct vmachine *vhost_next_timer(struct vhost *vhost, uint64_t *due_us)
{
	struct vmachine *first = NULL;

	*due_us = TIMER_NEVER;
	for (guint i = 0; i < vhost->machines->len; i++) {
		struct vmachine *machine =
			g_ptr_array_index(vhost->machines, i);
		uint64_t next_us;

		if (!machine->node || machine->paused)
			continue;
		next_us = node_next_us(machine->node);
		if (next_us < *due_us) {
			*due_us = next_us;
			first = machine;
		}
	}
	return first;
}

/* Handles one timer or event due by limit_us; false if there is none. */
static bool vhost_step(struct vhost *vhost, uint64_t limit_us)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(vhost->events);
	struct vevent *event =
		g_sequence_iter_is_end(iter) ? NULL : g_sequence_get(iter);
	uint64_t timer_us;
	struct vmachine *machine = vhost_next_timer(vhost, &timer_us);
	uint64_t event_us = event ? event->due_us : TIMER_NEVER;

	if (MIN(timer_us, event_us) > limit_us)
		return false;
	if (machine && (!event || timer_us < event_us)) {
		vhost->now_us = MAX(vhost->now_us, timer_us);
		node_run_timers(machine->node, vhost->now_us);
		return true;
	}
	g_assert(event);
	vhost->now_us = MAX(vhost->now_us, event_us);
	if (event->to->paused && event->life == event->to->life) {
		event = g_memdup2(event, sizeof(*event));
		record_ref(event->message);
		g_queue_push_tail(&event->to->waiting, event);
		g_sequence_remove(iter);
		return true;
	}
	/* Removed first: its handler posts events and may free others. */
	event = g_memdup2(event, sizeof(*event));
	record_ref(event->message);
	g_sequence_remove(iter);
	vhost_handle(event);
	vevent_free(event);
	return true;
}

void vhost_run_us(struct vhost *vhost, uint64_t duration_us)
{
	uint64_t end_us = vhost->now_us + duration_us;

	while (vhost_step(vhost, end_us))
		;
	vhost->now_us = end_us;
}

void vhost_run_ms(struct vhost *vhost, uint64_t duration_ms)
{
	vhost_run_us(vhost, duration_ms * 1000);
}

bool vhost_run_until(struct vhost *vhost, bool (*done)(void *data), void *data,
		     uint64_t limit_ms)
{
	uint64_t end_us = vhost->now_us + limit_ms * 1000;

	while (!done(data))
		if (!vhost_step(vhost, end_us))
			return done(data);
	return true;
}

uint32_t vhost_log_count(const struct vhost *vhost, const char *text)
{
	uint32_t nr = 0;

	for (guint i = 0; i < vhost->log->len; i++)
		if (strstr(g_ptr_array_index(vhost->log, i), text))
			nr++;
	return nr;
}

bool vhost_log_has(const struct vhost *vhost, const char *pattern)
{
	for (guint i = 0; i < vhost->log->len; i++)
		if (g_pattern_match_simple(pattern,
					   g_ptr_array_index(vhost->log, i)))
			return true;
	return false;
}
