/**
 * @file test_testbed.c
 * What the testbed promises to the tests that start real processes.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "suite.h"
#include "testbed_address.h"

#define NR_HOSTS 3
#define NR_SITES 600

/* Notes an address; returns false if it was noted before. */
static bool note(GHashTable *seen, char *address)
{
	return g_hash_table_add(seen, address);
}

/*
 * Guards against an address that is given twice: the second process to listen
 * there ends at its start ("--listen: an input or output operation failed").
 * The addresses are those of a site of the platform whose replicas have
 * proxies.
 */
START_TEST(test_addresses_are_given_once)
{
	struct tb_addresses *addresses = tb_addresses_new();
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uint32_t nr_twice = 0;

	for (uint32_t i = 0; i < NR_SITES; i++) {
		char *first = tb_address(addresses, 0);

		nr_twice += !note(seen, tb_address(addresses, 0));
		nr_twice += !note(seen, tb_address(addresses, 0));
		nr_twice += !note(seen, g_strdup(first));
		for (uint32_t host = 1; host < NR_HOSTS; host++) {
			nr_twice += !note(seen, tb_address(addresses, host));
			nr_twice += !note(seen, tb_address(addresses, host));
			nr_twice += !note(seen, tb_address_like(addresses, host,
								first));
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

/* Guards against two testbeds at the same time that listen at one address. */
START_TEST(test_testbeds_have_own_hosts)
{
	struct tb_addresses *one = tb_addresses_new();
	struct tb_addresses *other = tb_addresses_new();
	char *address = tb_address(one, 0);
	char *beside = tb_address(other, 0);

	*strrchr(address, ':') = '\0';
	*strrchr(beside, ':') = '\0';
	ck_assert_str_ne(address, beside);
	g_free(address);
	g_free(beside);
	tb_addresses_free(one);
	tb_addresses_free(other);
}
END_TEST

SUITE_MAIN("testbed", test_addresses_are_given_once,
	   test_testbeds_have_own_hosts)
