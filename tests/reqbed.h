#ifndef REQBED_H
#define REQBED_H

/**
 * @file reqbed.h
 * Entries, agents and simulated upstreams in one process under virtual time,
 * with a stand-in for control that keeps claims. It counts what ran, so that a
 * test can compare it with what callers were told.
 */

#include "agent.h"
#include "command.h"
#include "entry.h"
#include "fake_site.h"
#include "vhost.h"

#define BED_MAX 16
#define BED_WARM_UP_MS 1000 /* until all links are up */
#define BED_SERVICE "loft repair desk"

/** What an upstream does with a call. */
enum bed_mode {
	BED_SERVE,
	BED_REFUSE, /* the connection */
	BED_BREAK, /* close the connection halfway through the response */
	BED_FAIL, /* status 500 */
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
	uint32_t slow_ppm; /* of the usual service time */
	bool silent; /* makes no announcements */
	bool leaving;
	uint32_t in_flight; /* at the upstream */
	uint32_t max_in_flight;
	uint32_t nr_calls;
	uint32_t nr_cancelled;
	GHashTable *calls; /* uint64_t * -> its latest call of that number */
};

struct bed_entry {
	struct bed *bed;
	struct vmachine *machine;
	struct entry *entry;
	uint32_t nr_boots;
};

struct bed_answer {
	uint32_t nr; /* how often the caller was answered */
	uint64_t submitted_us;
	uint64_t answered_us;
	uint32_t run; /* enum run_state */
	uint32_t result;
	uint32_t status;
	char *body; /* NUL-terminated, NULL without one */
};

struct bed_opts {
	uint64_t seed;
	uint32_t nr_agents;
	uint32_t nr_entries;
	uint32_t service_us; /* mean time of a run */
	uint32_t spread_ppm; /* times are uniform within mean +- spread */
	const char *route_policy;
	bool control; /* with a control stand-in */
};

struct bed {
	struct vhost *vhost;
	struct bed_opts opts;
	struct bed_agent agents[BED_MAX];
	struct bed_entry entries[BED_MAX];
	struct vmachine *control;
	bool control_deaf; /* takes no message */
	bool control_mute; /* takes queries, commits, but sends no reply */
	GHashTable *claims; /* char * -> struct claim_record * */
	GHashTable *runs; /* char * (path) -> number of runs */
	GPtrArray *answers; /* struct bed_answer *, by ticket */
	GPtrArray *calls;
};

struct bed *bed_new(const struct bed_opts *opts);
void bed_free(struct bed *bed);

/** Boots an agent again under a new node_id and tells the entries. */
void bed_boot_agent(struct bed *bed, uint32_t i);
void bed_boot_entry(struct bed *bed, uint32_t i);

/** Fills a request for the bed's service; the path names the work. */
struct request bed_request(const char *path, bool repeatable, const char *key,
			   uint32_t deadline_ms);
/** Submits a request to an entry and returns its ticket. */
uint64_t bed_submit(struct bed *bed, uint32_t entry,
		    const struct request *request);
const struct bed_answer *bed_answer(const struct bed *bed, uint64_t ticket);
/** Returns true if the caller got the whole response to its path, once. */
bool bed_is_done(const struct bed *bed, uint64_t ticket, const char *path);
/** Returns true if the caller was told once that the work did not run. */
bool bed_is_refused(const struct bed *bed, uint64_t ticket, enum result result);
/** Returns true if no entry, agent or upstream has anything under way. */
bool bed_is_idle(const struct bed *bed);
/** Returns how often the work of that path was begun at any upstream. */
uint32_t bed_runs(const struct bed *bed, const char *path);
/** Returns the sum of a counter over all running entries. */
uint64_t bed_entry_counter(const struct bed *bed, const char *name);

#endif /* REQBED_H */
