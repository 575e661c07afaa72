#ifndef REQBED_H
#define REQBED_H

/**
 * @file reqbed.h
 * Test harness of entries, agents and simulated upstreams in one process under
 * virtual time, with a stand-in for control that stores claims. It counts the
 * runs of each request, so that a test can compare them with the answers that
 * callers got.
 */

#include "agent.h"
#include "command.h"
#include "entry.h"
#include "fake_site.h"
#include "vhost.h"

#define BED_MAX 16
#define BED_WARM_UP_MS 1000 /* all links are up after this */
#define BED_SERVICE "loft repair desk"

/** How an upstream handles calls. */
enum bed_mode {
	BED_SERVE,
	BED_REFUSE, /* refuses the connection */
	BED_BREAK, /* closes the connection halfway through the response */
	BED_FAIL, /* responds with status 500 */
};

struct bed;

struct bed_agent {
	struct bed *bed;
	struct vmachine *machine;
	struct agent *agent;
	char address[ADDRESS_BYTES];
	char zone[NAME_BYTES];
	enum bed_mode mode;
	uint32_t slots;
	uint32_t connections;
	uint32_t slow_ppm; /* service time, relative to opts.service_us */
	bool silent; /* makes no announcements */
	bool leaving;
	uint32_t in_flight; /* calls in progress at the upstream */
	uint32_t max_in_flight;
	uint32_t nr_calls;
	uint32_t nr_cancelled;
	GHashTable *calls; /* uint64_t * (call_nr) -> latest call */
};

struct bed_entry {
	struct bed *bed;
	struct vmachine *machine;
	struct entry *entry;
	uint32_t nr_boots;
};

struct bed_answer {
	uint32_t nr; /* number of answers to the caller */
	uint64_t submitted_us;
	uint64_t answered_us;
	uint32_t run; /* enum run_state */
	uint32_t result;
	uint32_t status;
	char *body; /* NUL-terminated, NULL: no body */
};

struct bed_opts {
	uint64_t seed;
	uint32_t nr_agents;
	uint32_t nr_entries;
	uint32_t service_us; /* mean time of a run */
	uint32_t spread_ppm; /* times are uniform within mean +- spread */
	const char *route_policy; /* NULL: the default */
	bool control; /* with a stand-in for control */
};

struct bed {
	struct vhost *vhost;
	struct bed_opts opts;
	struct bed_agent agents[BED_MAX];
	struct bed_entry entries[BED_MAX];
	struct vmachine *control;
	bool control_deaf; /* ignores all messages */
	bool control_mute; /* stores claims, but sends no reply */
	GHashTable *claims; /* char * (service/key) -> struct claim_record * */
	GHashTable *runs; /* char * (path) -> number of runs */
	GPtrArray *answers; /* struct bed_answer *, by ticket */
	GPtrArray *calls;
};

struct bed *bed_new(const struct bed_opts *opts);
void bed_free(struct bed *bed);

/** Starts an agent under a new node_id and adds it to the entries' views. */
void bed_boot_agent(struct bed *bed, uint32_t i);
void bed_boot_entry(struct bed *bed, uint32_t i);

/** Returns a request for BED_SERVICE; runs are counted by its path. */
struct request bed_request(const char *path, bool repeatable, const char *key,
			   uint32_t deadline_ms);
/** Submits a request to an entry and returns its ticket. */
uint64_t bed_submit(struct bed *bed, uint32_t entry,
		    const struct request *request);
const struct bed_answer *bed_answer(const struct bed *bed, uint64_t ticket);
/** Returns true if the caller got the complete response, exactly once. */
bool bed_is_done(const struct bed *bed, uint64_t ticket, const char *path);
/** Returns true if the only answer was RUN_NOT_RUN with this result. */
bool bed_is_refused(const struct bed *bed, uint64_t ticket, enum result result);
/** Returns true if no entry, agent or upstream has work in progress. */
bool bed_is_idle(const struct bed *bed);
/** Returns how often a request with that path was started at any upstream. */
uint32_t bed_runs(const struct bed *bed, const char *path);
/** Returns the sum of a counter over all running entries. */
uint64_t bed_entry_counter(const struct bed *bed, const char *name);

#endif /* REQBED_H */
