#ifndef REQUEST_HARNESS_H
#define REQUEST_HARNESS_H

/**
 * @file request_harness.h
 * Entries, agents and simulated upstreams in one process under virtual time,
 * with a stand-in for control that keeps claims. It counts what ran, so that a
 * test can compare it with what callers were told.
 */

#include "agent.h"
#include "command.h"
#include "entry.h"
#include "fake_site.h"
#include "sim.h"

#define HARNESS_MAX_NODES 16
#define HARNESS_WARM_UP_MS 1000 /* until all links are up */
#define HARNESS_SERVICE "loft repair desk"

/** What an upstream does with a call. */
enum harness_upstream_mode {
	HARNESS_SERVE,
	HARNESS_REFUSE, /* the connection */
	HARNESS_BREAK, /* close the connection halfway through the response */
	HARNESS_FAIL, /* status 500 */
};

struct harness;

struct harness_agent {
	struct harness *harness;
	struct sim_machine *machine;
	struct agent *agent;
	char address[ADDRESS_BYTES];
	char zone[NAME_BYTES];
	enum harness_upstream_mode mode;
	uint32_t slots;
	uint32_t connections;
	uint32_t slow_ppm; /* of the usual service time */
	bool silent; /* makes no announcements */
	bool leaving;
	uint32_t in_flight; /* at the upstream */
	uint32_t max_in_flight;
	uint32_t nr_calls;
	uint32_t nr_cancelled;
	GHashTable *calls; /* uint64_t * -> its latest call of that number */
};

struct harness_entry {
	struct harness *harness;
	struct sim_machine *machine;
	struct entry *entry;
	uint32_t nr_boots;
};

struct harness_answer {
	uint32_t nr; /* how often the caller was answered */
	uint64_t submitted_us;
	uint64_t answered_us;
	uint32_t run; /* enum run_state */
	uint32_t result;
	uint32_t status;
	char *body; /* NUL-terminated, NULL without one */
};

struct harness_opts {
	uint64_t seed;
	uint32_t nr_agents;
	uint32_t nr_entries;
	uint32_t service_us; /* mean time of a run */
	uint32_t spread_ppm; /* times are uniform within mean +- spread */
	const char *route_policy;
	bool control; /* with a control stand-in */
};

struct harness {
	struct sim *sim;
	struct harness_opts opts;
	struct harness_agent agents[HARNESS_MAX_NODES];
	struct harness_entry entries[HARNESS_MAX_NODES];
	struct sim_machine *control;
	bool control_drops_messages; /* takes no message */
	bool control_drops_replies; /* takes queries, commits, but sends no
				       reply */
	GHashTable *claims; /* char * -> struct claim_record * */
	GHashTable *runs; /* char * (path) -> number of runs */
	GPtrArray *answers; /* struct harness_answer *, by ticket */
	GPtrArray *calls;
};

struct harness *harness_new(const struct harness_opts *opts);
void harness_free(struct harness *harness);

/** Boots an agent again under a new node_id and tells the entries. */
void harness_boot_agent(struct harness *harness, uint32_t i);
void harness_boot_entry(struct harness *harness, uint32_t i);

/** Fills a request for the bed's service; the path names the work. */
struct request harness_request(const char *path, bool repeatable,
			       const char *key, uint32_t deadline_ms);
/** Submits a request to an entry and returns its ticket. */
uint64_t harness_submit(struct harness *harness, uint32_t entry,
			const struct request *request);
const struct harness_answer *harness_answer(const struct harness *harness,
					    uint64_t ticket);
/** Returns true if the caller got the whole response to its path, once. */
bool harness_is_done(const struct harness *harness, uint64_t ticket,
		     const char *path);
/** Returns true if the caller was told once that the work did not run. */
bool harness_is_refused(const struct harness *harness, uint64_t ticket,
			enum result result);
/** Returns true if no entry, agent or upstream has anything under way. */
bool harness_is_idle(const struct harness *harness);
/** Returns how often the work of that path was begun at any upstream. */
uint32_t harness_runs(const struct harness *harness, const char *path);
/** Returns the sum of a counter over all running entries. */
uint64_t harness_entry_counter(const struct harness *harness, const char *name);

#endif /* REQUEST_HARNESS_H */
