#ifndef TESTBED_ADDRESS_H
#define TESTBED_ADDRESS_H

/**
 * @file testbed_address.h
 * The loopback addresses of one testbed. A testbed has hosts of its own, which
 * no other testbed on the machine has at the same time, and gives each port
 * once. The kernel isn't asked for ports: it may choose one again as long as
 * nobody listens there yet.
 */

#include <stdint.h>

struct tb_addresses;

/** Claims hosts that no other testbed has. */
struct tb_addresses *tb_addresses_new(void);
/** Gives the hosts back; NULL is accepted. */
void tb_addresses_free(struct tb_addresses *addresses);
/**
 * Returns an "ip:port" on a host (0, 1, ...), whose port was given for no host
 * before.
 */
char *tb_address(struct tb_addresses *addresses, uint32_t host);
/** Returns the address on this host with the port of an address @a first. */
char *tb_address_like(struct tb_addresses *addresses, uint32_t host,
		      const char *first);

#endif /* TESTBED_ADDRESS_H */
