/**
 * @file test_testbed.c
 * Tests the address allocation of the testbed, which starts real processes.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "suite.h"
#include "testbed_address.h"

#define NR_HOSTS 3
#define NR_SITES 600

/* Adds an address to the set; returns false if it was there before. */
static bool add_address(GHashTable *seen, char *address)
{
	return g_hash_table_add(seen, address);
}

/*
 * Guards against an address that is allocated twice: the second process that
 * listens on it exits at its start ("--listen: an input or output operation
 * failed"). Allocates the addresses of sites on the platform whose replicas
 * have proxies.
 */
START_TEST(test_addresses_are_given_once)
{
	struct tb_addresses *addresses = tb_addresses_new();
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uint32_t nr_twice = 0;

	for (uint32_t i = 0; i < NR_SITES; i++) {
		char *first = tb_address(addresses, 0);

		nr_twice += !add_address(seen, tb_address(addresses, 0));
		nr_twice += !add_address(seen, tb_address(addresses, 0));
		nr_twice += !add_address(seen, g_strdup(first));
		for (uint32_t host = 1; host < NR_HOSTS; host++) {
			nr_twice +=
				!add_address(seen, tb_address(addresses, host));
			nr_twice +=
				!add_address(seen, tb_address(addresses, host));
			nr_twice += !add_address(
				seen, tb_address_like(addresses, host, first));
		}
		g_free(first);
	}
	ck_assert_uint_eq(nr_twice, 0);
	ck_assert_uint_eq(g_hash_table_size(seen),
			  (uintmax_t)NR_SITES * NR_HOSTS * 3);
	g_hash_table_unref(seen);
	tb_addresses_free(addresses);
}
END_TEST

/* Guards against concurrent testbeds whose processes use the same address. */
START_TEST(test_testbeds_have_own_hosts)
{
	struct tb_addresses *one = tb_addresses_new();
	struct tb_addresses *other = tb_addresses_new();
	char *address = tb_address(one, 0);
	char *other_address = tb_address(other, 0);

	*strrchr(address, ':') = '\0';
	*strrchr(other_address, ':') = '\0';
	ck_assert_str_ne(address, other_address);
	g_free(address);
	g_free(other_address);
	tb_addresses_free(one);
	tb_addresses_free(other);
}
END_TEST

SUITE_MAIN("testbed", test_addresses_are_given_once,
	   test_testbeds_have_own_hosts)
