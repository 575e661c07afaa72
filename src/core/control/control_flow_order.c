#include <string.h>

#include "control_flow_impl.h"

/* Orders of one turn go out as one message for each VM. */
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

bool control_flow_is_current_incarnation(const struct flow_placement *soft)
{
	const struct flow_task *task = &soft->flow->record.tasks[soft->task];
	const struct worker_incarnation *worker = &soft->vm->worker;

	return !strcmp(task->worker, worker->id) &&
	       task->born_ms == worker->born_ms;
}

void control_flow_order_start(struct control_flow *flows,
			      struct flow_placement *soft)
{
	const struct flow_record *record = &soft->flow->record;
	struct flow_order order = { .action = FLOW_START };

	/* A VM that has not reported yet gets its orders after its report. */
	if (!soft->vm->reported || !control_flow_is_current_incarnation(soft))
		return;
	order.repeated =
		soft->inherited ||
		(soft->ordered_us && soft->ordered_node != soft->vm->node_id);
	soft->inherited = order.repeated;
	soft->ordered_us = flows->control->node->now_us;
	soft->ordered_node = soft->vm->node_id;
	TEXT_SET(order.task, soft->name);
	order.run = soft->run;
	order.spec = record->spec ? g_bytes_ref(record->spec) : NULL;
	TEXT_SET(order.checkpoint, record->tasks[soft->task].checkpoint);
	order.filler = soft->step->filler;
	TEXT_SET(order.ticket, soft->ticket);
	order.target_ms = soft->step->target_ms;
	TEXT_SET(order.image, soft->step->image);
	order.cpu_millis = soft->step->cpu_millis;
	/* With the next grant the agent learns the weights it needs. */
	soft->vm->grant_due = true;
	counter_add(flows->control->node->counters, "start_orders", 1);
	flow_order_add(flows, soft->vm, &order);
}

void control_flow_order_stop(struct control_flow *flows,
			     struct flow_placement *soft, const char *why)
{
	struct flow_order order = { .action = FLOW_STOP };
	GString *line;

	if (!soft->vm->reported || !soft->committed ||
	    !control_flow_is_current_incarnation(soft))
		return;
	if (!soft->stopping) {
		line = logline_new("task-stop");
		logline_str(line, "task", soft->name);
		logline_u64(line, "run", soft->run);
		logline_str(line, "vm", soft->vm->name);
		logline_u64(line, "percent", soft->percent);
		logline_str(line, "reason", why);
		node_log(flows->control->node, line);
		counter_inc_label(flows->control->node->counters, "task_stops",
				  "reason", why);
	}
	if (!soft->stopping)
		control_flow_vm_changed(flows, soft->vm);
	soft->stopping = true;
	soft->ordered_us = flows->control->node->now_us;
	soft->ordered_node = soft->vm->node_id;
	TEXT_SET(order.task, soft->name);
	order.run = soft->run;
	counter_add(flows->control->node->counters, "stop_orders", 1);
	flow_order_add(flows, soft->vm, &order);
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

/* Orders go out at once, but while the leader may not grant. */
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

void control_flow_send_orders(void *data, uint64_t now_us)
{
	struct control_flow *flows = data;
	struct control *control = flows->control;
	GHashTableIter iter;
	void *key;
	void *value;

	timer_cancel(control->node->timers, &flows->order_timer);
	/* Orders of a leader that was replaced must not go out. */
	if (!raft_may_grant(control->raft)) {
		if (g_hash_table_size(flows->orders))
			node_timer_ms(control->node, &flows->order_timer,
				      FLOW_ORDER_RETRY_MS);
		return;
	}
	flow_log_delayed_orders(flows);
	g_hash_table_iter_init(&iter, flows->orders);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct flow_vm *vm = control_flow_vm(flows, key);
		GArray *orders = value;
		struct flow_orders message = { 0 };

		message.term = raft_term(control->raft);
		TEXT_SET(message.worker, vm->worker.id);
		message.born_ms = vm->worker.born_ms;
		message.nr_orders = orders->len;
		message.orders = (struct flow_order *)(void *)orders->data;
		node_send(control->node, vm->node_id, MSG_FLOW_ORDERS,
			  &message);
	}
	g_hash_table_remove_all(flows->orders);
}
