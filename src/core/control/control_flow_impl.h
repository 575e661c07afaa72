#ifndef CONTROL_FLOW_IMPL_H
#define CONTROL_FLOW_IMPL_H

/** @file control_flow_impl.h What the files of control_flow share. */

#include "control_flow.h"
#include "control_impl.h"
#include "pressure.h"
#include "timer.h"

#define FLOW_EARLIER_IDS 4 /* late reports come from the last few */

/** A VM whose worker runs tasks of workflows. */
struct flow_vm {
	char name[NAME_BYTES];
	char zone[NAME_BYTES];
	uint64_t node_id; /* incarnation of its agent */
	uint64_t earlier_node_ids[FLOW_EARLIER_IDS]; /* incarnations before */
	uint32_t nr_earlier;
	struct worker_incarnation worker;
	bool reported; /* to this leader */
	bool reachable;
	bool looked; /* its agent has listed the worker's runs */
	bool loss_pending; /* its tasks are being taken back: no grants */
	bool grant_due;
	bool gains_stale; /* runs or weights have changed since room */
	uint64_t changed_nr; /* control_flow.change_nr when room may have grown
			      */
	uint64_t reported_us;
	uint64_t report_seq;
	uint64_t report_sent_us; /* agent's clock */
	/** No grant of any leader extends the worker's lease beyond this. */
	uint64_t lapse_us;
	GArray *ends; /* struct flow_run_end of the last report */
	uint32_t fence_nr; /* of the term's fences for this VM */
	uint64_t settled_nr;
	uint64_t granted_us; /* last grant of a lease, 0: none */
	uint64_t lost_us; /* its lease had lapsed in this life, 0: never */
	uint64_t checked_end_nr; /* ends up to it were checked; for the log */
	GHashTable *runs; /* set of struct flow_placement * */
	/* room taken by runs that are placed or proposed */
	uint32_t cpu_millis;
	uint32_t lasting_cpu_millis; /* part of it */
	uint32_t filler_cpu_millis;
	uint32_t memory_mib;
	uint32_t accelerators;
	uint64_t pairs_hash; /* of the weights that its agent was told */
	uint64_t pairs_sent_us; /* when */
	struct flow_room *room; /* see control_flow_gain(); NULL: none yet */
	uint64_t filler_moved_us; /* a filler was moved here last */
	uint32_t fail_permille; /* share of failed ends, newest weigh most */
	uint64_t backoff_until_us; /* nothing is placed before */
	uint32_t vm_backoff_ms; /* length of the last such time */
};

/** The run of a task that is placed, or about to be. */
struct flow_placement {
	char name[NAME_BYTES]; /* of the task */
	struct state_flow *flow;
	uint32_t task;
	uint32_t run;
	const struct flow_step *step;
	struct flow_vm *vm;
	bool committed;
	bool ending; /* its end is proposed */
	bool stopping; /* its stop was ordered */
	bool on; /* the worker has it */
	uint64_t ordered_us; /* time of the last order, 0: none */
	uint64_t ordered_node; /* incarnation that got it */
	bool inherited; /* placed under an earlier leader */
	uint64_t listed_us;
	uint32_t percent;
	uint32_t pace; /* percent at which it may work */
	uint64_t throttled_since_us; /* its pace is low since then, 0: it isn't
				      */
	uint64_t progress_us; /* when percent changed last */
	uint64_t no_better_vm_us; /* a look for a better VM found none, 0: no
				     look */
	char checkpoint[NAME_BYTES];
	uint32_t figure;
	uint32_t image; /* pressure_image() */
	uint64_t sample_hash; /* of the figures that were learned from last */
	char ticket[NAME_BYTES]; /* that its start carries, "": none */
};

/** When a workflow may end at best. */
enum flow_forecast {
	FLOW_ON_TIME = 0,
	FLOW_LATE = 1,
	FLOW_ABANDONED = 2,
};

/** Average work of a queue's workflows, by estimates. */
struct flow_work_mean {
	uint64_t sum_core_ms;
	uint32_t nr;
};

/** A workflow that has not ended, in the order of work. */
struct flow_rank {
	struct state_flow *flow;
	uint64_t due_us; /* end of its objective */
	uint64_t abandoned_us; /* nobody waits for it any more */
	enum flow_forecast forecast; /* at the last look */
	uint64_t value_density; /* worth of its end for the work that remains */
	uint64_t work_core_ms; /* of all its tasks, by estimates */
	struct flow_work_mean *mean; /* of its queue */
	uint64_t idle_us; /* nothing of it runs since then, 0: something does */
	/* control_flow.change_nr when no VM had room for it, 0: not known */
	uint64_t evaluated_change_nr;
	uint64_t all_evaluated_us; /* all VMs were weighed */
	bool starved; /* flow_demand.starved, when no VM had room */
	uint32_t nr_placed; /* of its tasks, then */
	uint32_t nr_done;
};

/** A workflow's first stage that finds no place; for the log. */
struct flow_wait {
	uint32_t stage;
	uint64_t since_us;
	uint64_t next_log_us; /* when to log it next */
};

/** An end that was committed; for operators. */
struct flow_past_end {
	char task[NAME_BYTES];
	char vm[NAME_BYTES];
	uint32_t run;
	enum flow_end end;
	uint64_t at_us;
};

/** What a stage asks of its VMs. */
struct flow_demand {
	struct control_flow *flows;
	struct state_flow *flow;
	uint32_t stage;
	const struct flow_step *step;
	const struct flow_vm *avoid; /* where the task failed last */
	const struct flow_vm *except; /* not to be chosen */
	bool starved; /* nothing of the workflow runs, and there is room */
	uint64_t evaluated_change_nr; /* only VMs that have changed since; 0:
					 all */
};

struct control_flow {
	struct control *control;
	uint32_t lease_ms; /* of workers, in each grant */
	GHashTable *vms; /* name -> struct flow_vm * */
	GHashTable *runs; /* task name -> struct flow_placement * */
	struct pressure *pressure;
	struct flow_advice *advice;
	GArray *ranks; /* struct flow_rank, by priority, density and due_us */
	GHashTable *work_means; /* host and prefix -> struct flow_work_mean * */
	uint64_t change_nr; /* counts changes that may make room on a VM */
	GArray *changes; /* struct flow_change to be proposed */
	GHashTable *held; /* task name -> struct flow_vm * that it left */
	GHashTable *orders; /* vm name -> GArray of struct flow_order */
	uint64_t orders_since_us; /* the oldest of them */
	GHashTable *waits; /* workflow's id -> struct flow_wait * */
	GHashTable *started; /* ids of workflows that a worker has had */
	struct flow_past_end past[FLOW_RECENT_ENDS_MAX]; /* a ring */
	uint64_t nr_past;
	struct timer change_timer;
	struct timer place_timer;
	struct timer order_timer;
	struct timer check_timer;
	uint64_t pressure_saved_us; /* learned weights were saved last */
	/** A call without an answer was known until then, 0: never. */
	uint64_t unanswered_until_us;
	uint64_t group_checked_us; /* moves of serving tasks were looked for */
};

/* control_flow.c */
struct flow_vm *control_flow_vm(struct control_flow *flows, const char *name);
struct flow_placement *control_flow_placement(const struct control_flow *flows,
					      const struct state_flow *flow,
					      uint32_t task);
/** Takes room on the VM for a run. */
struct flow_placement *control_flow_reserve(struct control_flow *flows,
					    struct state_flow *flow,
					    uint32_t task, uint32_t run,
					    struct flow_vm *vm);
void control_flow_release(struct control_flow *flows,
			  struct flow_placement *soft);
/** Gives back room that was taken in the same turn; nothing has changed. */
void control_flow_unreserve(struct control_flow *flows,
			    struct flow_placement *soft);
/** Notes that the VM may have room for what found none there before. */
void control_flow_vm_changed(struct control_flow *flows, struct flow_vm *vm);
/** Notes that a worker has, or had, a run of the workflow. */
void control_flow_note_started(struct control_flow *flows,
			       const struct state_flow *flow);
/**
 * Returns true if a task has started. A new leader learns from reports which
 * have, so it counts too many as waiting rather than too few.
 */
bool control_flow_has_started(const struct control_flow *flows,
			      const struct state_flow *flow);
/** Adds a change to the next proposal of this turn. */
void control_flow_propose(struct control_flow *flows,
			  const struct flow_change *change);
/** Proposes the end of a run, unless that is under way. */
void control_flow_propose_end(struct control_flow *flows,
			      struct flow_placement *soft, enum flow_end end,
			      const char *checkpoint);

/* control_flow_vm.c */
/** Returns the fence under which the VM gets its lease and its orders. */
uint64_t control_flow_fence(const struct control_flow *flows,
			    const struct flow_vm *vm);
void control_flow_grant(struct control_flow *flows, struct flow_vm *vm);
void control_flow_check(void *data, uint64_t now_us);

/* control_flow_order.c */
/** Returns true if the run belongs to the present life of its worker. */
bool control_flow_is_current_incarnation(const struct flow_placement *soft);
void control_flow_order_start(struct control_flow *flows,
			      struct flow_placement *soft);
void control_flow_order_stop(struct control_flow *flows,
			     struct flow_placement *soft, const char *why);
/** Stops a run that the committed state doesn't have. */
void control_flow_order_kill(struct control_flow *flows, struct flow_vm *vm,
			     const struct flow_run *run);
void control_flow_send_orders(void *data, uint64_t now_us);

/* control_flow_advice.c */
struct flow_advice *flow_advice_new(void);
void flow_advice_free(struct flow_advice *advice);
/**
 * Returns the ticket with which the VM's worker may run tasks of the stage,
 * NULL if it has none now; flow_advice_request() then asks.
 */
const char *flow_advice_ticket(const struct control_flow *flows,
			       const struct state_flow *flow, uint32_t stage,
			       const struct flow_vm *vm);
/** Asks about the VMs for the stage, as soon as the adviser is free. */
void flow_advice_request(struct control_flow *flows,
			 const struct state_flow *flow, uint32_t stage);
/** A ticket was refused. */
void flow_advice_forget(struct control_flow *flows,
			const struct flow_placement *soft);

/* control_flow_pressure.c */
bool control_flow_is_serving(const struct flow_placement *soft);
/** Takes over what earlier leaders have learned. */
void control_flow_load_weights(struct control_flow *flows);
/** Saves what was learned, now and then. */
void control_flow_save_weights(struct control_flow *flows);
/** Learns from the figures that a report brought. */
void control_flow_learn_weights(struct control_flow *flows, struct flow_vm *vm);
/**
 * Returns the weights that the VM's agent should know now; none if it knows
 * them. The caller frees the array of struct pressure_pair.
 */
GArray *control_flow_agent_weights(struct control_flow *flows,
				   struct flow_vm *vm);
/**
 * Returns how much more would be worked on the VM if a filler came, in permille
 * of the processors that the filler asks for.
 */
uint32_t control_flow_gain(struct control_flow *flows, struct flow_vm *vm,
			   const struct flow_step *step);
void control_flow_room_free(struct flow_room *room);
/** Fills @a images with the serving images on the VM; returns their number. */
uint32_t control_flow_serving_images(const struct flow_vm *vm, uint32_t *images,
				     uint32_t max);
/** Returns the number of serving images on the VM besides this one. */
uint32_t control_flow_other_images(const struct flow_vm *vm, uint32_t image);

/* control_flow_move_fillers.c */
/** Notes whether a run is held back. */
void control_flow_note_pace(struct control_flow *flows,
			    struct flow_placement *soft);
/** Stops fillers of the VM that could work better elsewhere. */
void control_flow_move_fillers(struct control_flow *flows, struct flow_vm *vm);

/* control_flow_group_serving.c */
/** How much of the VM a serving task of the image would close to fillers. */
uint64_t control_flow_filler_loss(const struct control_flow *flows,
				  const struct flow_vm *vm, uint32_t image);
/** Returns true if it is known which fillers press the image. */
bool control_flow_knows_image(const struct control_flow *flows, uint32_t image);
/** Moves a serving task to VMs with neighbours like it, if that opens much. */
void control_flow_group_serving(struct control_flow *flows);

/* control_flow_log.c */
/** Logs ends `done` of runs that were replaced, once each. */
void control_flow_log_ignored_ends(struct control_flow *flows,
				   struct flow_vm *vm,
				   const struct flow_report *report);
void control_flow_log_lost_vm(struct control_flow *flows,
			      const struct flow_vm *vm);
/** Notes that tasks of a stage find no place; logs it after a while. */
void control_flow_note_wait(const struct flow_demand *need);
/** Notes that nothing of a stage waits for a place. */
void control_flow_note_placed(const struct flow_demand *need);
/** Returns why no VM takes a task of the stage. */
const char *control_flow_wait_reason(const struct flow_demand *need);
/** Keeps an end for operators' questions. */
void control_flow_record_end(struct control_flow *flows,
			     const struct flow_placement *soft,
			     enum flow_end end);
void control_flow_set_gauges(struct control_flow *flows);

/* control_flow_rank_add.c */
/** Adds a workflow that has not ended, or removes it. */
void control_flow_rank_add(struct control_flow *flows, struct state_flow *flow);
void control_flow_rank_remove(struct control_flow *flows,
			      const struct state_flow *flow);
/** Puts the workflows in the order of work. */
void control_flow_sort(struct control_flow *flows);

/* control_flow_place.c */
/** Returns true if the occurrence of the stage is due. */
bool control_flow_stage_due(const struct control_flow *flows,
			    const struct state_flow *flow, uint32_t stage);
/** Returns true if the VM may take work of the service at all. */
bool control_flow_vm_usable(const struct control_flow *flows,
			    const struct flow_vm *vm, const char *service);
/** Returns true if the VM has what a task of the stage asks for. */
bool control_flow_vm_fits(struct flow_vm *vm, const struct flow_demand *need);
/** Returns the other VM that the run's task would go to, NULL if none. */
struct flow_vm *control_flow_other_vm(struct control_flow *flows,
				      const struct flow_placement *soft);
void control_flow_place_soon(struct control_flow *flows);
void control_flow_place(void *data, uint64_t now_us);

#endif /* CONTROL_FLOW_IMPL_H */
