#include "client.h"

#include <libsoup/soup.h>
#include <string.h>

#include "json_text.h"

#define ATTEMPT_MS 3000 /* for one replica, in case it is down */
#define PAUSE_MS 150 /* after a request to each of the replicas */

struct client {
	char **addresses;
	uint32_t nr_addresses;
	uint32_t current; /* index of the replica that gets the next request */
	int64_t end_us; /* end of the command's time limit, monotonic */
	SoupSession *session;
	GMainLoop *loop;
};

/* One request to one replica and its answer. */
struct attempt {
	struct client *client;
	SoupMessage *msg;
	GCancellable *cancellable;
	GBytes *body; /* of the answer, NULL: none was received */
	bool sent; /* the request may have reached the replica */
};

static void attempt_done(GObject *session, GAsyncResult *res, gpointer data)
{
	struct attempt *attempt = data;

	attempt->body = soup_session_send_and_read_finish(SOUP_SESSION(session),
							  res, NULL);
	g_main_loop_quit(attempt->client->loop);
}

static void attempt_starting(SoupMessage *msg, gpointer data)
{
	struct attempt *attempt = data;

	attempt->sent = true;
}

static gboolean attempt_timed_out(gpointer data)
{
	struct attempt *attempt = data;

	g_cancellable_cancel(attempt->cancellable);
	return G_SOURCE_CONTINUE;
}

static int64_t client_remaining_ms(const struct client *client)
{
	return (client->end_us - g_get_monotonic_time()) / 1000;
}

/* Sends one request to the current replica and waits for its answer. */
static void attempt_run(struct attempt *attempt, const char *method,
			const char *path, const char *body)
{
	struct client *client = attempt->client;
	char *url = g_strdup_printf("http://%s%s",
				    client->addresses[client->current], path);
	int64_t left_ms = CLAMP(client_remaining_ms(client), 1, ATTEMPT_MS);
	guint timer;
	GBytes *bytes;

	attempt->msg = soup_message_new(method, url);
	g_free(url);
	if (!attempt->msg)
		return;
	attempt->cancellable = g_cancellable_new();
	if (body) {
		bytes = g_bytes_new(body, strlen(body));
		soup_message_set_request_body_from_bytes(
			attempt->msg, "application/json", bytes);
		g_bytes_unref(bytes);
	}
	soup_message_add_flags(attempt->msg, SOUP_MESSAGE_NEW_CONNECTION |
						     SOUP_MESSAGE_NO_REDIRECT);
	g_signal_connect(attempt->msg, "starting", G_CALLBACK(attempt_starting),
			 attempt);
	timer = g_timeout_add((guint)left_ms, attempt_timed_out, attempt);
	soup_session_send_and_read_async(client->session, attempt->msg,
					 G_PRIORITY_DEFAULT,
					 attempt->cancellable, attempt_done,
					 attempt);
	g_main_loop_run(client->loop);
	g_source_remove(timer);
}

static void attempt_clear(struct attempt *attempt)
{
	if (attempt->msg)
		g_signal_handlers_disconnect_by_data(attempt->msg, attempt);
	g_clear_object(&attempt->msg);
	g_clear_object(&attempt->cancellable);
	g_clear_pointer(&attempt->body, g_bytes_unref);
}

/* Reads a result code. Returns false if the member exists but holds none. */
static bool reply_code(JsonObject *object, const char *member,
		       enum result *result)
{
	JsonNode *node = json_object_get_member(object, member);
	gint64 code;

	if (!node)
		return true;
	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64)
		return false;
	code = json_node_get_int(node);
	/* The exit code has 8 bits: a larger code could be taken for 0. */
	if (code < 0 || code > UINT8_MAX)
		return false;
	*result = (enum result)code;
	return true;
}

static char *reply_text(JsonObject *object, const char *member)
{
	JsonNode *node = json_object_get_member(object, member);

	return node && JSON_NODE_HOLDS_VALUE(node) ?
		       json_node_dup_string(node) :
		       NULL;
}

/* Parses the answer: an op_reply with a result, a list, or a status. */
static void attempt_read(const struct attempt *attempt,
			 struct client_reply *reply)
{
	struct json_parse_error fault;
	guint status = soup_message_get_status(attempt->msg);
	JsonObject *object;
	const char *text;
	gsize size;
	bool read;

	text = g_bytes_get_data(attempt->body, &size);
	reply->result = RESULT_MALFORMED;
	reply->root =
		json_parse_list(text, (gssize)size, &reply->nr_unread, &fault);
	if (!reply->root) {
		reply->message = json_parse_error_text(&fault);
		return;
	}
	if (!JSON_NODE_HOLDS_OBJECT(reply->root)) {
		reply->message = g_strdup("the answer is not a JSON object");
		return;
	}
	object = json_node_get_object(reply->root);
	reply->result = status == 200 ? RESULT_OK : RESULT_IO;
	/* The HTTP server itself refuses calls with a problem document. */
	read = json_object_has_member(object, "result") ?
		       reply_code(object, "result", &reply->result) :
		       reply_code(object, "code", &reply->result);
	if (!read) {
		reply->result = RESULT_MALFORMED;
		reply->message = g_strdup("the answer's result is invalid");
		return;
	}
	reply->message = reply_text(
		object, json_object_has_member(object, "detail") ? "detail" :
								   "message");
	if (reply->result != RESULT_OK &&
	    (!reply->message || !reply->message[0])) {
		g_free(reply->message);
		reply->message = g_strdup(result_summary(reply->result));
	}
}

/* Every replica answers with its own status; the tool shows the leader's. */
static bool reply_is_from_follower(const struct client_reply *reply)
{
	return reply->result == RESULT_OK && reply->root &&
	       JSON_NODE_HOLDS_OBJECT(reply->root) &&
	       !json_object_get_boolean_member_with_default(
		       json_node_get_object(reply->root), "leader", TRUE);
}

/* Returns true if a repeated call may succeed, at another replica or later. */
static bool result_is_retryable(enum result res)
{
	switch (res) {
	case RESULT_NOT_LEADER:
	case RESULT_NO_QUORUM:
	case RESULT_OVERLOADED:
	case RESULT_IN_PROGRESS:
	case RESULT_LEAVING:
	case RESULT_OUTCOME_UNKNOWN:
	case RESULT_TIMEOUT:
		return true;
	default:
		return false;
	}
}

static void client_pause(struct client *client)
{
	client->current = (client->current + 1) % client->nr_addresses;
	if (!client->current && client_remaining_ms(client) > PAUSE_MS)
		g_usleep(PAUSE_MS * 1000ul);
}

/* Returns true if the reply says that the change was not carried out. */
static bool reply_is_refusal(const struct client_reply *reply)
{
	return reply->result != RESULT_OK &&
	       reply->result != RESULT_OUTCOME_UNKNOWN &&
	       reply->result != RESULT_TIMEOUT;
}

/*
 * Replaces the refusal of a change by an unknown outcome: an earlier copy of
 * the request, which got no clear answer, may have been carried out.
 */
static void reply_set_unknown(struct client_reply *reply)
{
	char *refusal = reply->message;

	reply->message = g_strdup_printf(
		"an earlier request got no clear answer and may have been "
		"carried out; the last one was refused: %s",
		refusal);
	reply->result = RESULT_OUTCOME_UNKNOWN;
	g_free(refusal);
}

/* Sends the request to one replica after the other until one answers it. */
static void client_repeat(struct client *client, const char *method,
			  const char *path, const char *body, bool once,
			  struct client_reply *reply)
{
	uint32_t nr_followers = 0;
	bool lost = false;

	memset(reply, 0, sizeof(*reply));
	do {
		struct attempt attempt = { .client = client };

		client_reply_clear(reply);
		attempt_run(&attempt, method, path, body);
		reply->lost = lost;
		if (attempt.body) {
			attempt_read(&attempt, reply);
		} else {
			reply->result = RESULT_TIMEOUT;
			reply->message = g_strdup_printf(
				"no answer from %s",
				client->addresses[client->current]);
			reply->lost |= attempt.sent;
		}
		if (reply->result == RESULT_OUTCOME_UNKNOWN ||
		    (attempt.body && reply->result == RESULT_TIMEOUT))
			reply->lost = true;
		lost = reply->lost;
		attempt_clear(&attempt);
		if (reply_is_from_follower(reply) &&
		    ++nr_followers < client->nr_addresses) {
			client_pause(client);
			continue;
		}
		if (!result_is_retryable(reply->result))
			return;
		client_pause(client);
		if (once && reply->lost)
			return;
	} while (client_remaining_ms(client) > 0);
}

static void client_run(struct client *client, const char *method,
		       const char *path, const char *body, bool once,
		       struct client_reply *reply)
{
	client_repeat(client, method, path, body, once, reply);
	if (strcmp(method, "GET") != 0 && reply->lost &&
	    reply_is_refusal(reply))
		reply_set_unknown(reply);
}

struct client *client_new(const struct client_opts *opts)
{
	struct client *client = g_new0(struct client, 1);

	client->addresses = g_strdupv((char **)opts->addresses);
	client->nr_addresses = g_strv_length(client->addresses);
	client->end_us = g_get_monotonic_time() + opts->timeout_ms * 1000ll;
	client->session =
		soup_session_new_with_options("proxy-resolver", NULL, NULL);
	client->loop = g_main_loop_new(NULL, FALSE);
	return client;
}

void client_free(struct client *client)
{
	if (!client)
		return;
	g_main_loop_unref(client->loop);
	g_object_unref(client->session);
	g_strfreev(client->addresses);
	g_free(client);
}

void client_call(struct client *client, const char *method, const char *path,
		 const char *body, struct client_reply *reply)
{
	client_run(client, method, path, body, false, reply);
}

void client_call_once(struct client *client, const char *method,
		      const char *path, const char *body,
		      struct client_reply *reply)
{
	client_run(client, method, path, body, true, reply);
}

void client_reply_clear(struct client_reply *reply)
{
	if (reply->root)
		json_node_unref(reply->root);
	g_free(reply->message);
	memset(reply, 0, sizeof(*reply));
}
