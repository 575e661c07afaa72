#include "testbed_address.h"

#include <gio/gio.h>
#include <stdbool.h>
#include <string.h>
#include <unistd.h>

/* A testbed listens on this port of its first host to reserve all its hosts. */
#define LOCK_PORT 20000
/* Below the ephemeral ports of Linux. */
#define LAST_PORT 32767
/* The second byte of an address is the host, the others are the testbed. */
#define NR_TESTBEDS_MAX (250 * 250)

struct tb_addresses {
	uint32_t slot;
	GSocket *claim; /* listens on LOCK_PORT */
	uint32_t last_port; /* last allocated port */
};

static char *host_ip(const struct tb_addresses *addresses, uint32_t host)
{
	return g_strdup_printf("127.%u.%u.%u", host + 1,
			       addresses->slot / 250 + 1,
			       addresses->slot % 250 + 1);
}

/* Returns NULL if another socket listens on the port. */
static GSocket *listen_at(const struct tb_addresses *addresses, uint32_t host,
			  uint32_t port)
{
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
				       G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, NULL);
	char *ip = host_ip(addresses, host);
	GSocketAddress *address =
		g_inet_socket_address_new_from_string(ip, port);

	if (!g_socket_bind(socket, address, TRUE, NULL) ||
	    !g_socket_listen(socket, NULL))
		g_clear_object(&socket);
	g_object_unref(address);
	g_free(ip);
	return socket;
}

struct tb_addresses *tb_addresses_new(void)
{
	struct tb_addresses *addresses = g_new0(struct tb_addresses, 1);

	addresses->last_port = LOCK_PORT;
	for (uint32_t i = 0; i < NR_TESTBEDS_MAX && !addresses->claim; i++) {
		addresses->slot = ((uint32_t)getpid() + i) % NR_TESTBEDS_MAX;
		addresses->claim = listen_at(addresses, 0, LOCK_PORT);
	}
	g_assert(addresses->claim);
	return addresses;
}

void tb_addresses_free(struct tb_addresses *addresses)
{
	if (!addresses)
		return;
	g_object_unref(addresses->claim);
	g_free(addresses);
}

/* A program that listens on all addresses uses the port on these as well. */
static bool is_free(const struct tb_addresses *addresses, uint32_t host,
		    uint32_t port)
{
	GSocket *socket = listen_at(addresses, host, port);
	bool free = socket != NULL;

	g_clear_object(&socket);
	return free;
}

char *tb_address(struct tb_addresses *addresses, uint32_t host)
{
	char *ip = host_ip(addresses, host);
	char *text;

	do
		addresses->last_port++;
	while (!is_free(addresses, host, addresses->last_port));
	g_assert(addresses->last_port <= LAST_PORT);
	text = g_strdup_printf("%s:%u", ip, addresses->last_port);
	g_free(ip);
	return text;
}

char *tb_address_like(struct tb_addresses *addresses, uint32_t host,
		      const char *first)
{
	char *ip = host_ip(addresses, host);
	char *text = g_strdup_printf("%s%s", ip, strrchr(first, ':'));

	g_free(ip);
	return text;
}
