#ifndef TESTBED_ADDRESS_H
#define TESTBED_ADDRESS_H

/** @file testbed_address.h The loopback addresses of one testbed. */

#include <stdint.h>

struct tb_addresses;

struct tb_addresses *tb_addresses_new(void);
/** NULL is accepted. */
void tb_addresses_free(struct tb_addresses *addresses);
/** Returns an "ip:port" on a host (0, 1, ...) that was not given before. */
char *tb_address(struct tb_addresses *addresses, uint32_t host);
/** Returns the address on this host with the port of an address @a first. */
char *tb_address_like(struct tb_addresses *addresses, uint32_t host,
		      const char *first);

#endif /* TESTBED_ADDRESS_H */
