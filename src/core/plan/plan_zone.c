#include "plan_zone.h"

#include "schema.h"

#define CPU_UNIT_MILLIS 125
#define MEMORY_UNIT_MIB 64
/*
 * VMs checked for each candidate that is requested: some VMs in the lowest size
 * class that may fit are too small.
 */
#define SCANS_PER_CANDIDATE 4

uint32_t plan_zone_class(uint32_t units)
{
	uint32_t bits;

	if (units < 4)
		return units;
	bits = g_bit_storage(units); /* at least 3 */
	return MIN(4 * (bits - 2) + ((units >> (bits - 3)) & 3), 63);
}

struct plan_zone *plan_zone_new(const char *name, uint32_t nr)
{
	struct plan_zone *zone = g_new0(struct plan_zone, 1);

	TEXT_SET(zone->name, name);
	zone->nr = nr;
	zone->vms = g_ptr_array_new();
	return zone;
}

void plan_zone_free(struct plan_zone *zone)
{
	if (!zone)
		return;
	for (uint32_t row = 0; row < ZONE_ROWS; row++) {
		for (uint32_t column = 0; column < ZONE_COLUMNS; column++) {
			if (zone->cells[row][column])
				g_ptr_array_free(zone->cells[row][column],
						 TRUE);
		}
	}
	g_ptr_array_free(zone->vms, TRUE);
	g_free(zone);
}

static void zone_unindex(struct plan_zone *zone, struct plan_vm *vm)
{
	GPtrArray *cell = zone->cells[vm->row][vm->column];
	struct plan_vm *last;

	g_ptr_array_remove_index_fast(cell, vm->position);
	if (vm->position < cell->len) {
		last = g_ptr_array_index(cell, vm->position);
		last->position = vm->position;
	}
	if (!cell->len)
		zone->used[vm->row] &= ~(1ull << vm->column);
	if (!zone->used[vm->row])
		zone->used_rows &= ~(1ull << vm->row);
	vm->indexed = false;
}

static bool vm_may_start(const struct plan_vm *vm)
{
	return vm->known && vm->record.state == VM_LIVE &&
	       !vm->record.quarantined && !vm->zone->out;
}

void plan_zone_index_vm(struct plan_vm *vm)
{
	struct plan_zone *zone = vm->zone;
	struct task_size available;
	uint32_t row;
	uint32_t column;

	if (!zone)
		return;
	available = plan_vm_available(vm);
	row = plan_zone_class(available.cpu_millis / CPU_UNIT_MILLIS);
	column = plan_zone_class(available.memory_mib / MEMORY_UNIT_MIB);
	if (vm->indexed && vm_may_start(vm) && row == vm->row &&
	    column == vm->column)
		return;
	if (vm->indexed)
		zone_unindex(zone, vm);
	if (!vm_may_start(vm))
		return;
	if (!zone->cells[row][column])
		zone->cells[row][column] = g_ptr_array_new();
	vm->indexed = true;
	vm->row = row;
	vm->column = column;
	vm->position = zone->cells[row][column]->len;
	g_ptr_array_add(zone->cells[row][column], vm);
	zone->used[row] |= 1ull << column;
	zone->used_rows |= 1ull << row;
}

void plan_zone_add_vm(struct plan_zone *zone, struct plan_vm *vm)
{
	if (vm->zone == zone)
		return;
	if (vm->zone) {
		if (vm->indexed)
			zone_unindex(vm->zone, vm);
		g_ptr_array_remove(vm->zone->vms, vm);
	}
	vm->zone = zone;
	g_ptr_array_add(zone->vms, vm);
	plan_zone_index_vm(vm);
}

uint32_t plan_zone_candidates(const struct plan_zone *zone,
			      const struct task_size *size, uint64_t random,
			      struct plan_vm **out, uint32_t max)
{
	uint32_t first_row =
		plan_zone_class(size->cpu_millis / CPU_UNIT_MILLIS);
	uint32_t first_column =
		plan_zone_class(size->memory_mib / MEMORY_UNIT_MIB);
	uint64_t rows = zone->used_rows & (UINT64_MAX << first_row);
	uint32_t checks_left = max * SCANS_PER_CANDIDATE;
	uint32_t nr = 0;

	while (rows && nr < max && checks_left) {
		uint32_t row = (uint32_t)__builtin_ctzll(rows);
		uint64_t columns = zone->used[row] &
				   (UINT64_MAX << first_column);

		rows &= rows - 1;
		while (columns && nr < max && checks_left) {
			uint32_t column = (uint32_t)__builtin_ctzll(columns);
			const GPtrArray *cell = zone->cells[row][column];
			uint32_t start = (uint32_t)(random % cell->len);

			columns &= columns - 1;
			for (uint32_t i = 0;
			     i < cell->len && nr < max && checks_left; i++) {
				struct plan_vm *vm = g_ptr_array_index(
					cell, (start + i) % cell->len);

				checks_left--;
				if (plan_vm_fits(vm, size))
					out[nr++] = vm;
			}
		}
	}
	return nr;
}

uint32_t plan_zone_count(const struct plan_zone *zone,
			 const struct task_size *size, uint32_t max)
{
	uint32_t row = plan_zone_class(size->cpu_millis / CPU_UNIT_MILLIS) + 1;
	uint32_t column =
		plan_zone_class(size->memory_mib / MEMORY_UNIT_MIB) + 1;
	uint64_t rows;
	uint32_t nr = 0;

	if (row >= ZONE_ROWS || column >= ZONE_COLUMNS)
		return 0;
	rows = zone->used_rows & (UINT64_MAX << row);
	for (; rows && nr < max; rows &= rows - 1) {
		uint32_t at = (uint32_t)__builtin_ctzll(rows);
		uint64_t columns = zone->used[at] & (UINT64_MAX << column);

		for (; columns && nr < max; columns &= columns - 1)
			nr += zone->cells[at][__builtin_ctzll(columns)]->len;
	}
	return nr;
}
