#include "raft_member.h"

#include <string.h>

static void raft_config_clear(void *data)
{
	struct raft_config *config = data;

	record_unref(config->members);
}

static struct record members_new(const struct members *members)
{
	struct record record = { CMD_MEMBERS, NULL };

	record.body = members ? schema_dup(CMD_MEMBERS, members) :
				schema_alloc(CMD_MEMBERS);
	return record;
}

void raft_configs_push(struct raft_configs *configs, uint64_t index,
		       struct record members)
{
	struct raft_config config = { index, record_ref(members) };

	g_assert(members.type == CMD_MEMBERS);
	g_array_append_val(configs->list, config);
}

void raft_configs_init(struct raft_configs *configs)
{
	struct record none = members_new(NULL);

	configs->list = g_array_new(FALSE, FALSE, sizeof(struct raft_config));
	g_array_set_clear_func(configs->list, raft_config_clear);
	raft_configs_push(configs, 0, none);
	record_unref(none);
}

void raft_configs_clear(struct raft_configs *configs)
{
	g_array_unref(configs->list);
}

static const struct raft_config *
raft_configs_nth(const struct raft_configs *configs, uint32_t i)
{
	return &g_array_index(configs->list, struct raft_config, i);
}

void raft_configs_truncate(struct raft_configs *configs, uint64_t index)
{
	while (configs->list->len > 1 &&
	       raft_configs_last(configs)->index >= index)
		g_array_set_size(configs->list, configs->list->len - 1);
}

void raft_configs_compact(struct raft_configs *configs, uint64_t index)
{
	while (configs->list->len > 1 &&
	       raft_configs_nth(configs, 1)->index <= index)
		g_array_remove_index(configs->list, 0);
}

void raft_configs_reset(struct raft_configs *configs, uint64_t index,
			struct record members)
{
	g_array_set_size(configs->list, 0);
	raft_configs_push(configs, index, members);
}

const struct raft_config *raft_configs_last(const struct raft_configs *configs)
{
	return raft_configs_nth(configs, configs->list->len - 1);
}

const struct raft_config *raft_configs_at(const struct raft_configs *configs,
					  uint64_t index)
{
	uint32_t i = configs->list->len - 1;

	while (i > 0 && raft_configs_nth(configs, i)->index > index)
		i--;
	return raft_configs_nth(configs, i);
}

const struct member *members_find(const struct members *members,
				  uint64_t node_id)
{
	for (uint32_t i = 0; i < members->nr_members; i++)
		if (members->members[i].node_id == node_id)
			return &members->members[i];
	return NULL;
}

const struct member *members_find_address(const struct members *members,
					  const char *address)
{
	for (uint32_t i = 0; i < members->nr_members; i++)
		if (!strcmp(members->members[i].address, address))
			return &members->members[i];
	return NULL;
}

bool members_is_voter(const struct members *members, uint64_t node_id)
{
	const struct member *member = members_find(members, node_id);

	return member && member->voter;
}

uint32_t members_nr_voters(const struct members *members)
{
	uint32_t nr = 0;

	for (uint32_t i = 0; i < members->nr_members; i++)
		nr += members->members[i].voter;
	return nr;
}

uint32_t members_quorum(const struct members *members)
{
	return members_nr_voters(members) / 2 + 1;
}

static void member_set(struct member *member, const struct hello *peer,
		       bool voter)
{
	member->node_id = peer->node_id;
	TEXT_SET(member->name, peer->name);
	TEXT_SET(member->address, peer->address);
	member->voter = voter;
}

struct record members_add(const struct members *members,
			  const struct hello *peer, bool voter)
{
	struct record record = members_new(members);
	struct members *next = record.body;

	next->members =
		g_renew(struct member, next->members, next->nr_members + 1);
	member_set(&next->members[next->nr_members++], peer, voter);
	return record;
}

struct record members_replace(const struct members *members,
			      const struct hello *peer)
{
	struct record record = members_new(members);
	struct members *next = record.body;

	for (uint32_t i = 0; i < next->nr_members; i++)
		if (!strcmp(next->members[i].address, peer->address))
			member_set(&next->members[i], peer, false);
	return record;
}

struct record members_remove(const struct members *members, uint64_t node_id)
{
	struct record record = members_new(members);
	struct members *next = record.body;
	uint32_t nr = 0;

	for (uint32_t i = 0; i < next->nr_members; i++)
		if (next->members[i].node_id != node_id)
			next->members[nr++] = next->members[i];
	next->nr_members = nr;
	return record;
}

struct record members_promote(const struct members *members, uint64_t node_id)
{
	struct record record = members_new(members);
	struct members *next = record.body;

	for (uint32_t i = 0; i < next->nr_members; i++)
		if (next->members[i].node_id == node_id)
			next->members[i].voter = true;
	return record;
}

struct record members_found(const struct members *members)
{
	struct record record = members_new(members);

	((struct members *)record.body)->founded = true;
	return record;
}
