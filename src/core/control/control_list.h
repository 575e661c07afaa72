#ifndef CONTROL_LIST_H
#define CONTROL_LIST_H

/**
 * @file control_list.h
 * Operators' requests that only read the state. Each function answers the
 * request @a ticket.
 */

#include <stdint.h>

#include "op.h"

struct control;

void control_list_zones(struct control *control, uint64_t ticket,
			const void *body);
void control_list_vms(struct control *control, uint64_t ticket,
		      const void *body);
void control_list_jobs(struct control *control, uint64_t ticket,
		       const void *body);
void control_list_tasks(struct control *control, uint64_t ticket,
			const void *body);
void control_list_flows(struct control *control, uint64_t ticket,
			const void *body);
void control_list_shares(struct control *control, uint64_t ticket,
			 const void *body);
void control_list_bundle(struct control *control, uint64_t ticket,
			 const void *body);
/** Any replica answers this request; only the leader answers the others. */
void control_list_status(struct control *control, uint64_t ticket,
			 const void *body);

#endif /* CONTROL_LIST_H */
