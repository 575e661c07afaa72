#include "testbed_address.h"

#include <gio/gio.h>
#include <string.h>
#include <unistd.h>

struct tb_addresses {
	uint32_t slot; /* which of the hosts' addresses are this testbed's */
	GHashTable *given;
};

/* A loopback address of its own for each host. */
static char *host_ip(const struct tb_addresses *addresses, uint32_t host)
{
	return g_strdup_printf("127.%u.%u.%u", host + 1,
			       addresses->slot / 250 % 250 + 1,
			       addresses->slot % 250 + 1);
}

static char *draw(const struct tb_addresses *addresses, uint32_t host)
{
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
				       G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, NULL);
	char *ip = host_ip(addresses, host);
	GSocketAddress *address = g_inet_socket_address_new_from_string(ip, 0);
	GSocketAddress *bound;
	char *text;

	g_assert(g_socket_bind(socket, address, TRUE, NULL));
	bound = g_socket_get_local_address(socket, NULL);
	text = g_strdup_printf(
		"%s:%u", ip,
		g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound)));
	g_object_unref(bound);
	g_object_unref(address);
	g_object_unref(socket);
	g_free(ip);
	return text;
}

struct tb_addresses *tb_addresses_new(void)
{
	struct tb_addresses *addresses = g_new0(struct tb_addresses, 1);

	addresses->slot = (uint32_t)getpid();
	addresses->given =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return addresses;
}

void tb_addresses_free(struct tb_addresses *addresses)
{
	if (!addresses)
		return;
	g_hash_table_unref(addresses->given);
	g_free(addresses);
}

/* The kernel may give a port again that it gave before. */
char *tb_address(struct tb_addresses *addresses, uint32_t host)
{
	char *address = draw(addresses, host);

	while (!g_hash_table_add(addresses->given, g_strdup(address))) {
		g_free(address);
		address = draw(addresses, host);
	}
	return address;
}

char *tb_address_like(struct tb_addresses *addresses, uint32_t host,
		      const char *first)
{
	char *ip = host_ip(addresses, host);
	char *text = g_strdup_printf("%s%s", ip, strrchr(first, ':'));

	g_free(ip);
	return text;
}
