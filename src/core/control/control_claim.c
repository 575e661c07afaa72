#include "control_claim.h"

#include "control_impl.h"

static void control_claim_reply(struct control *control, uint64_t to,
				uint64_t ticket, enum result result,
				const struct claim_record *asked)
{
	const struct claim_record *claim =
		claim_find(control->state, asked->service, asked->key);
	struct claim_reply reply = { 0 };

	reply.ticket = ticket;
	reply.result = result;
	reply.claim = claim ? *claim : *asked;
	node_send(control->node, to, MSG_CLAIM_REPLY, &reply);
	if (result)
		counter_add(control->node->counters,
			    result == RESULT_IN_PROGRESS ? "claims_found" :
							   "claims_refused",
			    1);
}

static void control_claim_committed(struct control *control,
				    const struct control_proposal *proposal,
				    const struct state_outcome *outcome)
{
	/*
	 * The entry hasn't dispatched the request yet, so it can repeat a claim
	 * whose outcome is unknown.
	 */
	control_claim_reply(control, proposal->peer, proposal->ticket,
			    outcome->result == RESULT_OUTCOME_UNKNOWN ?
				    RESULT_NO_QUORUM :
				    outcome->result,
			    proposal->command.body);
}

void control_claim_query(struct control *control, uint64_t from,
			 const struct claim_query *query)
{
	struct control_proposal proposal = { .done = control_claim_committed };
	enum result result = control_check_leader(control);
	struct claim_record record = query->claim;
	bool changes = false;

	record.state = CLAIM_HELD;
	record.attempt = MAX(record.attempt, 1);
	record.body = NULL;
	record.body_kept = false;
	record.claimed_ms = control_wall_ms(control);
	if (!result)
		result = claim_check(claim_find(control->state, record.service,
						record.key),
				     &record, &changes);
	if (changes) {
		proposal.peer = from;
		proposal.ticket = query->ticket;
		result =
			control_propose(control, CMD_CLAIM, &record, &proposal);
		if (!result) {
			counter_add(control->node->counters, "claims_proposed",
				    1);
			return;
		}
	}
	control_claim_reply(control, from, query->ticket, result, &record);
}

void control_claim_done(struct control *control, const struct claim_done *done)
{
	const struct claim_record *claim = claim_find(
		control->state, done->claim.service, done->claim.key);
	struct claim_record record = done->claim;

	if (control_check_leader(control) || !claim ||
	    claim->state == CLAIM_COMPLETE)
		return;
	/* A large response is kept only by the agent that ran the request. */
	if (record.body &&
	    g_bytes_get_size(record.body) > CLAIM_BODY_MAX_BYTES) {
		record.body = NULL;
		record.body_kept = false;
	}
	control_propose(control, CMD_CLAIM_DONE, &record, NULL);
}
