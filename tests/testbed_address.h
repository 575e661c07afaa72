#ifndef TESTBED_ADDRESS_H
#define TESTBED_ADDRESS_H

/**
 * @file testbed_address.h
 * Allocates the loopback addresses of one testbed. Each testbed has host
 * addresses that no other testbed on the machine uses at the same time, and
 * allocates each port once. Ports aren't left to the kernel (port 0), since it
 * may choose the same port again until a process listens there.
 */

#include <stdint.h>

struct tb_addresses;

/** Reserves hosts that no other testbed uses. */
struct tb_addresses *tb_addresses_new(void);
/** Releases the hosts. @a addresses may be NULL. */
void tb_addresses_free(struct tb_addresses *addresses);
/**
 * Returns an "ip:port" on a host (0, 1, ...) with a port that was not allocated
 * on any host before.
 */
char *tb_address(struct tb_addresses *addresses, uint32_t host);
/** Returns an address on the host with the same port as address @a first. */
char *tb_address_like(struct tb_addresses *addresses, uint32_t host,
		      const char *first);

#endif /* TESTBED_ADDRESS_H */
