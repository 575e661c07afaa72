#ifndef REQUEST_HARNESS_H
#define REQUEST_HARNESS_H

/**
 * @file request_harness.h
 * Test harness of entries, agents and simulated upstreams in one process under
 * virtual time, with a stand-in for control that stores claims. It counts the
 * runs of each request, so that a test can compare them with the answers that
 * callers got.
 */

#include "agent.h"
#include "command.h"
#include "entry.h"
#include "fake_site.h"
#include "sim.h"

#define HARNESS_MAX_NODES 16
#define HARNESS_WARM_UP_MS 1000 /* all links are up after this time */
#define HARNESS_SERVICE "loft repair desk"

/** How an upstream handles calls. */
enum harness_upstream_mode {
	HARNESS_SERVE,
	HARNESS_REFUSE, /* refuses the connection */
	HARNESS_BREAK, /* closes the connection halfway through the response */
	HARNESS_FAIL, /* responds with status 500 */
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
	uint32_t slow_ppm; /* service time relative to opts.service_us */
	bool silent; /* the upstream makes no announcements */
	bool leaving;
	uint32_t in_flight; /* calls in progress at the upstream */
	uint32_t max_in_flight;
	uint32_t nr_calls; /* calls made so far */
	uint32_t nr_cancelled;
	GHashTable *calls; /* uint64_t * (call_nr) -> latest call */
};

struct harness_entry {
	struct harness *harness;
	struct sim_machine *machine;
	struct entry *entry;
	uint32_t nr_boots;
};

struct harness_answer {
	uint32_t nr; /* number of answers to the caller */
	uint64_t submitted_us;
	uint64_t answered_us;
	uint32_t run; /* enum run_state */
	uint32_t result;
	uint32_t status;
	char *body; /* NUL-terminated, NULL: no body */
};

struct harness_opts {
	uint64_t seed;
	uint32_t nr_agents;
	uint32_t nr_entries;
	uint32_t service_us; /* mean time of a run */
	uint32_t spread_ppm; /* times are uniform within mean +- spread */
	const char *route_policy; /* NULL: the default policy */
	bool control; /* with a stand-in for control */
};

struct harness {
	struct sim *sim;
	struct harness_opts opts;
	struct harness_agent agents[HARNESS_MAX_NODES];
	struct harness_entry entries[HARNESS_MAX_NODES];
	struct sim_machine *control;
	bool control_drops_messages; /* ignores all messages */
	bool control_drops_replies; /* stores claims, but sends no reply */
	GHashTable *claims; /* char * (service/key) -> struct claim_record * */
	GHashTable *runs; /* char * (path) -> number of runs */
	GPtrArray *answers; /* struct harness_answer *, by ticket */
	GPtrArray *calls;
};

struct harness *harness_new(const struct harness_opts *opts);
void harness_free(struct harness *harness);

/** Starts an agent under a new node_id and adds it to the entries' views. */
void harness_boot_agent(struct harness *harness, uint32_t i);
void harness_boot_entry(struct harness *harness, uint32_t i);

/** Returns a request for HARNESS_SERVICE; runs are counted by its path. */
struct request harness_request(const char *path, bool repeatable,
			       const char *key, uint32_t deadline_ms);
/** Submits a request to an entry and returns its ticket. */
uint64_t harness_submit(struct harness *harness, uint32_t entry,
			const struct request *request);
const struct harness_answer *harness_answer(const struct harness *harness,
					    uint64_t ticket);
/** Returns true if the caller got the complete response, exactly once. */
bool harness_is_done(const struct harness *harness, uint64_t ticket,
		     const char *path);
/** Returns true if the only answer was RUN_NOT_RUN with this result. */
bool harness_is_refused(const struct harness *harness, uint64_t ticket,
			enum result result);
/** Returns true if no entry, agent or upstream has work in progress. */
bool harness_is_idle(const struct harness *harness);
/** Returns how often a request with that path was started at any upstream. */
uint32_t harness_runs(const struct harness *harness, const char *path);
/** Returns the sum of a counter over all running entries. */
uint64_t harness_entry_counter(const struct harness *harness, const char *name);

#endif /* REQUEST_HARNESS_H */
