#include "raft_log.h"

static void raft_log_entry_clear(void *data)
{
	struct log_entry *entry = data;

	record_unref(entry->command);
}

void raft_log_init(struct raft_log *log)
{
	log->base_index = 0;
	log->base_term = 0;
	log->entries = g_array_new(FALSE, FALSE, sizeof(struct log_entry));
	g_array_set_clear_func(log->entries, raft_log_entry_clear);
}

void raft_log_clear(struct raft_log *log)
{
	g_array_unref(log->entries);
}

uint64_t raft_log_last_index(const struct raft_log *log)
{
	return log->base_index + log->entries->len;
}

const struct log_entry *raft_log_at(const struct raft_log *log, uint64_t index)
{
	g_assert(index > log->base_index && index <= raft_log_last_index(log));
	return &g_array_index(log->entries, struct log_entry,
			      index - log->base_index - 1);
}

bool raft_log_term(const struct raft_log *log, uint64_t index, uint64_t *term)
{
	if (index < log->base_index || index > raft_log_last_index(log))
		return false;
	*term = index == log->base_index ? log->base_term :
					   raft_log_at(log, index)->term;
	return true;
}

uint64_t raft_log_last_term(const struct raft_log *log)
{
	uint64_t term = 0;

	raft_log_term(log, raft_log_last_index(log), &term);
	return term;
}

void raft_log_append(struct raft_log *log, const struct log_entry *entry)
{
	struct log_entry copy = *entry;

	g_assert(entry->index == raft_log_last_index(log) + 1);
	record_ref(copy.command);
	g_array_append_val(log->entries, copy);
}

void raft_log_truncate(struct raft_log *log, uint64_t index)
{
	g_assert(index > log->base_index);
	if (index <= raft_log_last_index(log))
		g_array_set_size(log->entries,
				 (guint)(index - log->base_index - 1));
}

void raft_log_compact(struct raft_log *log, uint64_t index)
{
	uint64_t term = 0;
	bool known = raft_log_term(log, index, &term);

	g_assert(known);
	if (index == log->base_index)
		return;
	g_array_remove_range(log->entries, 0, (guint)(index - log->base_index));
	log->base_index = index;
	log->base_term = term;
}

void raft_log_reset(struct raft_log *log, uint64_t index, uint64_t term)
{
	g_array_set_size(log->entries, 0);
	log->base_index = index;
	log->base_term = term;
}

uint64_t raft_log_skip_term(const struct raft_log *log, uint64_t index,
			    uint64_t floor)
{
	uint64_t conflict_term = 0;
	uint64_t term = 0;

	raft_log_term(log, index, &conflict_term);
	while (index > floor && raft_log_term(log, index, &term) &&
	       term == conflict_term)
		index--;
	return index;
}
