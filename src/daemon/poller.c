#include "poller.h"

#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

#define POLLER_EVENTS 64 /* handled in one iteration of the loop */

struct poller {
	GSource source;
	const struct poller_ops *ops;
	void *ctx;
	int epoll_fd;
	gpointer tag;
};

static gboolean poller_prepare(GSource *source, gint *timeout_ms)
{
	struct poller *poller = (struct poller *)source;

	*timeout_ms = -1;
	return poller->ops->pending(poller->ctx);
}

static gboolean poller_check(GSource *source)
{
	struct poller *poller = (struct poller *)source;

	return g_source_query_unix_fd(source, poller->tag) ||
	       poller->ops->pending(poller->ctx);
}

static gboolean poller_dispatch(GSource *source, GSourceFunc callback,
				gpointer data)
{
	struct poller *poller = (struct poller *)source;
	struct epoll_event events[POLLER_EVENTS];
	int nr = 0;

	if (g_source_query_unix_fd(source, poller->tag))
		nr = epoll_wait(poller->epoll_fd, events, POLLER_EVENTS, 0);
	for (int i = 0; i < nr; i++) {
		if (events[i].events & EPOLLOUT)
			poller->ops->writable(events[i].data.ptr);
		if (events[i].events & (EPOLLIN | EPOLLERR | EPOLLHUP))
			poller->ops->readable(events[i].data.ptr);
	}
	if (poller->ops->pending(poller->ctx))
		poller->ops->flush(poller->ctx);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs poller_funcs = {
	.prepare = poller_prepare,
	.check = poller_check,
	.dispatch = poller_dispatch,
};

static void poller_control(struct poller *poller, int op, int fd, void *conn,
			   uint32_t events)
{
	struct epoll_event event = { .events = events, .data.ptr = conn };

	if (epoll_ctl(poller->epoll_fd, op, fd, &event))
		g_error("epoll_ctl: %s", g_strerror(errno));
}

struct poller *poller_new(const struct poller_ops *ops, void *ctx)
{
	GSource *source = g_source_new(&poller_funcs, sizeof(struct poller));
	struct poller *poller = (struct poller *)source;

	poller->ops = ops;
	poller->ctx = ctx;
	poller->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (poller->epoll_fd < 0)
		g_error("epoll_create1: %s", g_strerror(errno));
	poller->tag = g_source_add_unix_fd(source, poller->epoll_fd, G_IO_IN);
	g_source_attach(source, NULL);
	return poller;
}

void poller_free(struct poller *poller)
{
	int epoll_fd;

	if (!poller)
		return;
	epoll_fd = poller->epoll_fd;
	g_source_destroy(&poller->source);
	g_source_unref(&poller->source);
	close(epoll_fd);
}

void poller_add(struct poller *poller, int fd, void *conn)
{
	poller_control(poller, EPOLL_CTL_ADD, fd, conn, EPOLLIN);
}

void poller_set_writable(struct poller *poller, int fd, void *conn,
			 gboolean wanted)
{
	poller_control(poller, EPOLL_CTL_MOD, fd, conn,
		       wanted ? EPOLLIN | EPOLLOUT : EPOLLIN);
}

void poller_remove(struct poller *poller, int fd)
{
	poller_control(poller, EPOLL_CTL_DEL, fd, NULL, 0);
}
