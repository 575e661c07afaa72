#include <string.h>

#include "control_flow_impl.h"
#include "record_size.h"

/* Orders to agents to start and stop runs of workflow tasks. */

/*
 * Queues an order. The orders of one turn of the loop are sent as one message
 * to each VM.
 */
static void flow_order_add(struct control_flow *flows, const struct flow_vm *vm,
			   struct flow_order *order)
{
	GArray *orders = g_hash_table_lookup(flows->orders, vm->name);

	if (!g_hash_table_size(flows->orders))
		flows->orders_since_us = flows->control->node->now_us;
	if (!orders) {
		orders = g_array_new(FALSE, FALSE, sizeof(struct flow_order));
		g_hash_table_insert(flows->orders, (gpointer)vm->name, orders);
	}
	order->fence = control_flow_fence(flows, vm);
	g_array_append_vals(orders, order, 1);
	if (!timer_armed(&flows->order_timer))
		node_timer_ms(flows->control->node, &flows->order_timer, 0);
}

bool control_flow_is_current_incarnation(const struct flow_placement *placed)
{
	const struct flow_task *task =
		&placed->flow->record.tasks[placed->task];
	const struct worker_incarnation *worker = &placed->vm->worker;

	return !strcmp(task->worker, worker->id) &&
	       task->born_ms == worker->born_ms;
}

uint64_t control_flow_longest_lease_us(const struct control_flow *flows)
{
	return flows->worker_lease_ms * 1000ull * 1000 /
	       (1000 - WORKER_CLOCK_SLOW_PERMILLE);
}

bool control_flow_is_at_worker(const struct flow_placement *placed)
{
	return placed->listed && !placed->unconfirmed;
}

/*
 * Logs a start that is ordered after a later report, when no orphan bars it any
 * more.
 */
static void flow_log_held_start(struct control_flow *flows,
				const struct flow_placement *placed)
{
	GString *line = logline_new("start-held");

	logline_str(line, "task", placed->name);
	logline_u64(line, "run", placed->run);
	logline_str(line, "vm", placed->vm->name);
	logline_u64(line, "vm_orphans", placed->vm->orphans->len);
	counter_add(flows->control->node->counters, "starts_held", 1);
	node_log(flows->control->node, line);
}

/*
 * Returns for how long a start may yield to more urgent ones: the urgency is
 * that of placements, but lasting tasks go first whatever their priority is, as
 * each second without a run is lost.
 */
static uint32_t flow_start_yield_ms(const struct flow_placement *placed)
{
	uint32_t steps =
		MIN(placed->flow->record.priority,
		    FLOW_START_YIELD_MAX_MS / FLOW_START_YIELD_STEP_MS);

	if (placed->step->lasting)
		return 0;
	return MIN((steps + 1) * FLOW_START_YIELD_STEP_MS,
		   FLOW_START_YIELD_MAX_MS);
}

void control_flow_order_start(struct control_flow *flows,
			      struct flow_placement *placed)
{
	const struct flow_record *record = &placed->flow->record;
	struct flow_order order = { .action = FLOW_START };

	/*
	 * A VM that has not reported yet gets its orders after its first
	 * report.
	 */
	if (!placed->vm->reported ||
	    !control_flow_is_current_incarnation(placed))
		return;
	if (placed->done_earlier) {
		control_flow_propose_end(flows, placed, FLOW_END_DONE, "");
		return;
	}
	if (!placed->listed && control_flow_start_is_barred(flows, placed)) {
		flow_log_held_start(flows, placed);
		return;
	}
	order.repeated = placed->inherited ||
			 (placed->ordered_us &&
			  placed->ordered_node != placed->vm->node_id);
	/* An earlier agent process may have called the start already. */
	if (order.repeated && !control_flow_is_at_worker(placed))
		placed->copy_late_us =
			MAX(placed->copy_late_us,
			    placed->vm->agent_since_us +
				    WORKER_CALL_MAX_DELAY_MS * 1000ull);
	placed->inherited = order.repeated;
	placed->ordered_us = flows->control->node->now_us;
	placed->ordered_node = placed->vm->node_id;
	TEXT_SET(order.task, placed->name);
	order.run = placed->run;
	order.spec = record->spec ? g_bytes_ref(record->spec) : NULL;
	/* The change that stores a gang's checkpoint follows its placement. */
	TEXT_SET(order.checkpoint,
		 placed->start_checkpoint[0] ?
			 placed->start_checkpoint :
			 record->tasks[placed->task].checkpoint);
	order.filler = placed->step->filler;
	TEXT_SET(order.ticket, placed->ticket);
	order.target_ms = placed->step->target_ms;
	TEXT_SET(order.image, placed->step->image);
	order.cpu_millis = placed->step->cpu_millis;
	order.yield_ms = flow_start_yield_ms(placed);
	/* The next grant brings the agent the weights for the new run. */
	placed->vm->grant_due = true;
	counter_add(flows->control->node->counters, "start_orders", 1);
	flow_order_add(flows, placed->vm, &order);
}

/* Logs a stop; @a verdict is NULL if the leader hasn't weighed it. */
static void flow_log_stop(struct control_flow *flows,
			  const struct flow_placement *placed,
			  const char *reason,
			  const struct stop_verdict *verdict)
{
	GString *line = logline_new("task-stop");

	logline_str(line, "task", placed->name);
	logline_u64(line, "run", placed->run);
	logline_str(line, "vm", placed->vm->name);
	logline_u64(line, "percent", placed->percent);
	logline_str(line, "reason", reason);
	if (verdict && flows->policy->weighs_stops) {
		logline_u64(line, "gain_ms", verdict->gain_ms);
		logline_u64(line, "cost_ms", verdict->cost_ms);
	}
	node_log(flows->control->node, line);
	counter_inc_label(flows->control->node->counters, "task_stops",
			  "reason", reason);
}

void control_flow_preempt(struct control_flow *flows,
			  struct flow_placement *placed, const char *reason,
			  const struct stop_verdict *verdict)
{
	struct flow_order order = { .action = FLOW_STOP };

	if (!placed->vm->reported || !placed->committed ||
	    !control_flow_is_current_incarnation(placed))
		return;
	if (!placed->stopping) {
		flow_log_stop(flows, placed, reason, verdict);
		control_flow_vm_changed(flows, placed->vm);
	}
	placed->stopping = true;
	placed->ordered_us = flows->control->node->now_us;
	placed->ordered_node = placed->vm->node_id;
	TEXT_SET(order.task, placed->name);
	order.run = placed->run;
	counter_add(flows->control->node->counters, "stop_orders", 1);
	flow_order_add(flows, placed->vm, &order);
}

void control_flow_order_stop(struct control_flow *flows,
			     struct flow_placement *placed, const char *reason)
{
	control_flow_preempt(flows, placed, reason, NULL);
}

void control_flow_order_kill(struct control_flow *flows, struct flow_vm *vm,
			     const struct flow_run *run)
{
	struct flow_order order = { .action = FLOW_STOP };

	TEXT_SET(order.task, run->task);
	order.run = run->run;
	counter_add(flows->control->node->counters, "kill_orders", 1);
	flow_order_add(flows, vm, &order);
}

/* Logs orders that were delayed because the leader could not grant leases. */
static void flow_log_delayed_orders(struct control_flow *flows)
{
	uint64_t held_ms =
		(flows->control->node->now_us - flows->orders_since_us) / 1000;
	GString *line;

	if (!g_hash_table_size(flows->orders) || held_ms < FLOW_ORDER_RETRY_MS)
		return;
	line = logline_new("orders-held");
	logline_u64(line, "vms", g_hash_table_size(flows->orders));
	logline_u64(line, "held_ms", held_ms);
	logline_u64(line, "term", raft_term(flows->control->raft));
	node_log(flows->control->node, line);
}

/*
 * Returns how many orders from @a from on fit into one message: at least one,
 * as an order is far smaller than a message.
 */
static uint32_t flow_count_fitting(const struct flow_orders *message,
				   const GArray *orders, guint from)
{
	uint64_t size = 0;
	uint32_t nr = 0;

	while (from + nr < orders->len) {
		struct flow_orders one = *message;

		one.nr_orders = 1;
		one.orders =
			&g_array_index(orders, struct flow_order, from + nr);
		size += record_size((struct record){ MSG_FLOW_ORDERS, &one });
		if (nr && size > FLOW_ORDERS_MAX_BYTES)
			break;
		nr++;
	}
	return nr;
}

/*
 * Sends a VM's orders in their order. Orders that get lost are repeated, as
 * the agent's reports don't show what they ask for.
 */
static void flow_send_vm_orders(struct control_flow *flows,
				const struct flow_vm *vm, const GArray *orders)
{
	struct flow_orders message = { 0 };

	message.term = raft_term(flows->control->raft);
	TEXT_SET(message.worker, vm->worker.id);
	message.born_ms = vm->worker.born_ms;
	for (guint from = 0; from < orders->len; from += message.nr_orders) {
		message.nr_orders = flow_count_fitting(&message, orders, from);
		message.orders =
			&g_array_index(orders, struct flow_order, from);
		node_send(flows->control->node, vm->node_id, MSG_FLOW_ORDERS,
			  &message);
	}
}

void control_flow_send_orders(void *data, uint64_t now_us)
{
	struct control_flow *flows = data;
	struct control *control = flows->control;
	GHashTableIter iter;
	void *key;
	void *value;

	timer_cancel(control->node->timers, &flows->order_timer);
	/* A leader that may have been replaced must not send orders. */
	if (!raft_may_grant(control->raft)) {
		if (g_hash_table_size(flows->orders))
			node_timer_ms(control->node, &flows->order_timer,
				      FLOW_ORDER_RETRY_MS);
		return;
	}
	flow_log_delayed_orders(flows);
	g_hash_table_iter_init(&iter, flows->orders);
	while (g_hash_table_iter_next(&iter, &key, &value))
		flow_send_vm_orders(flows, control_flow_vm(flows, key), value);
	g_hash_table_remove_all(flows->orders);
}
