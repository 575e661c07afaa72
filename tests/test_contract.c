/**
 * @file test_contract.c
 * Runs the examples of docs/interfaces.md in their order against real
 * processes, and tests the exit codes of the daemon and the tool.
 */

#include <fcntl.h>
#include <gio/gio.h>
#include <glib-unix.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "suite.h"
#include "testbed.h"

#define READY_MS 30000 /* limit; the processes need about a second */

static const char *program;

/* An example: a fenced code block of the page. */
struct example {
	char *target; /* role of the process: "control", "agent"... */
	guint status;
	char *method;
	char *path;
	char **headers; /* "Name: value" */
	char *body;
	GPtrArray *expected; /* char *: parts of the answer's text */
};

struct answer {
	guint status; /* 0: no answer */
	char *text; /* headers and body */
};

static void example_free(void *data)
{
	struct example *example = data;

	g_free(example->target);
	g_free(example->method);
	g_free(example->path);
	g_strfreev(example->headers);
	g_free(example->body);
	g_ptr_array_unref(example->expected);
	g_free(example);
}

/* Reads method, path, headers, body and expected parts from a block's lines. */
static void example_parse(struct example *example, char **lines, guint nr)
{
	GPtrArray *headers = g_ptr_array_new();
	GString *body = g_string_new(NULL);
	char **words = g_strsplit(lines[0], " ", 2);

	example->method = g_strdup(words[0]);
	example->path = g_strdup(words[1]);
	for (guint i = 1; i < nr; i++) {
		if (g_str_has_prefix(lines[i], "< "))
			g_ptr_array_add(example->expected,
					g_strdup(lines[i] + 2));
		else if (!body->len && g_ascii_isupper(lines[i][0]) &&
			 strstr(lines[i], ": "))
			g_ptr_array_add(headers, g_strdup(lines[i]));
		else if (lines[i][0])
			g_string_append_printf(body, "%s\n", lines[i]);
	}
	g_ptr_array_add(headers, NULL);
	example->headers = (char **)g_ptr_array_free(headers, FALSE);
	example->body = g_string_free(body, FALSE);
	g_strfreev(words);
}

static GPtrArray *examples_read(void)
{
	GPtrArray *examples = g_ptr_array_new_with_free_func(example_free);
	char *page = g_build_filename(DOCS_DIR, "interfaces.md", NULL);
	char *text = NULL;
	char **lines;

	ck_assert(g_file_get_contents(page, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (guint i = 0; lines[i]; i++) {
		struct example *example;
		char **words;
		guint end = i + 1;

		if (!g_str_has_prefix(lines[i], "```http "))
			continue;
		while (strcmp(lines[end], "```") != 0)
			end++;
		words = g_strsplit(lines[i], " ", -1);
		example = g_new0(struct example, 1);
		example->target = g_strdup(words[1]);
		example->status = (guint)atoi(words[2]);
		example->expected = g_ptr_array_new_with_free_func(g_free);
		example_parse(example, lines + i + 1, end - i - 1);
		g_ptr_array_add(examples, example);
		g_strfreev(words);
		i = end;
	}
	g_strfreev(lines);
	g_free(text);
	g_free(page);
	return examples;
}

static void header_append(const char *name, const char *value, gpointer data)
{
	g_string_append_printf(data, "%s: %s\n", name, value);
}

static struct answer example_send(const struct example *example,
				  const char *address, const char *upstream)
{
	SoupSession *session = soup_session_new();
	char *url = g_strdup_printf("http://%s%s", address, example->path);
	SoupMessage *msg = soup_message_new(example->method, url);
	GString *body = g_string_new(example->body);
	GString *text = g_string_new(NULL);
	struct answer answer = { 0 };
	GBytes *bytes;
	GBytes *got;

	g_string_replace(body, "{upstream}", upstream, 0);
	for (char **h = example->headers; *h; h++) {
		char **parts = g_strsplit(*h, ": ", 2);

		soup_message_headers_append(
			soup_message_get_request_headers(msg), parts[0],
			parts[1]);
		g_strfreev(parts);
	}
	bytes = g_string_free_to_bytes(body);
	if (g_bytes_get_size(bytes))
		soup_message_set_request_body_from_bytes(
			msg, "application/json", bytes);
	got = soup_session_send_and_read(session, msg, NULL, NULL);
	if (got) {
		answer.status = soup_message_get_status(msg);
		soup_message_headers_foreach(
			soup_message_get_response_headers(msg), header_append,
			text);
		g_string_append_len(text, g_bytes_get_data(got, NULL),
				    (gssize)g_bytes_get_size(got));
		g_bytes_unref(got);
	}
	answer.text = g_string_free(text, FALSE);
	g_bytes_unref(bytes);
	g_object_unref(msg);
	g_object_unref(session);
	g_free(url);
	return answer;
}

/* Returns true if the answer says that repeating the request is safe. */
static bool answer_not_run(const struct answer *answer)
{
	return answer->status == 503 &&
	       strstr(answer->text, "\"not_run\":true");
}

static void example_check(const struct example *example,
			  const struct answer *answer)
{
	ck_assert_msg(answer->status == example->status,
		      "%s %s: status %u, not %u: %s", example->method,
		      example->path, answer->status, example->status,
		      answer->text);
	for (guint i = 0; i < example->expected->len; i++) {
		const char *part = g_ptr_array_index(example->expected, i);

		ck_assert_msg(strstr(answer->text, part) != NULL,
			      "%s %s: no %s in %s", example->method,
			      example->path, part, answer->text);
	}
}

/*
 * Runs one example. Repeats a request that is refused as not run, since the
 * processes receive each other's state with some delay.
 */
static void example_run(const struct example *example, const char *address,
			const char *upstream, const struct example *announce,
			const char *agent)
{
	gint64 end_us = g_get_monotonic_time() + READY_MS * 1000ll;
	struct answer answer;

	for (;;) {
		if (announce) {
			answer = example_send(announce, agent, upstream);
			g_free(answer.text);
		}
		answer = example_send(example, address, upstream);
		if (example->status == 503 || !answer_not_run(&answer) ||
		    g_get_monotonic_time() > end_us)
			break;
		g_free(answer.text);
		testbed_wait_ms(50);
	}
	example_check(example, &answer);
	g_free(answer.text);
}

static struct testbed *site_open(void)
{
	struct testbed_opts opts = {
		.name = "contract",
		.nr_controls = 1,
		.cpu_millis = 8000,
		.memory_mib = 8192,
		.seed = 3,
	};
	struct tb_vm_opts vm = { .zone = "veraval", .time_ms = 1 };
	struct testbed *tb = testbed_new(&opts, program);

	testbed_add_entry(tb, "veraval");
	testbed_add_vm(tb, &vm);
	ck_assert(testbed_wait_tool(tb, "\"leader\":true", READY_MS, "--json",
				    "status", NULL));
	return tb;
}

/* Guards against documented examples that the processes answer differently. */
START_TEST(test_examples)
{
	struct testbed *tb = site_open();
	GPtrArray *examples = examples_read();
	const struct example *announce = NULL;
	const char *agent = tb_proc_http(testbed_agent(tb, 0));
	const char *upstream = tb_proc_http(testbed_standin(tb, 0));
	const char *entry = tb_proc_http(testbed_entry(tb, 0));

	ck_assert_uint_gt(examples->len, 25);
	for (guint i = 0; i < examples->len; i++) {
		const struct example *example = g_ptr_array_index(examples, i);
		const char *address = NULL;

		if (!strcmp(example->target, "control"))
			address = tb_proc_http(testbed_control(tb, 0));
		else if (!strcmp(example->target, "agent"))
			address = agent;
		else if (!strcmp(example->target, "entry"))
			address = entry;
		else if (!strcmp(example->target, "worker"))
			address = upstream;
		ck_assert_msg(address != NULL, "target %s", example->target);
		/* VMs register once a bundle is in force. */
		if (g_str_has_prefix(example->path, "/v1/zones"))
			ck_assert(testbed_wait_tool(tb, "vm-1", READY_MS, "vm",
						    "list", NULL));
		if (!strcmp(example->method, "PUT") &&
		    g_str_has_suffix(example->path, "/desk-1"))
			announce = example;
		if (!strcmp(example->target, "entry"))
			ck_assert(testbed_wait_http(testbed_entry(tb, 0),
						    "/-/readyz", READY_MS));
		example_run(example, address, upstream, announce, agent);
	}
	g_ptr_array_unref(examples);
	testbed_free(tb);
}
END_TEST

/*
 * Guards against a second run of a request that is sent again with the same
 * Idempotency-Key.
 */
START_TEST(test_resend_with_key)
{
	struct testbed *tb = site_open();
	GPtrArray *examples = examples_read();
	const char *agent = tb_proc_http(testbed_agent(tb, 0));
	const char *upstream = tb_proc_http(testbed_standin(tb, 0));
	const struct example *announce = NULL;

	for (guint i = 0; i < examples->len; i++) {
		const struct example *example = g_ptr_array_index(examples, i);

		if (g_str_has_suffix(example->path, "/desk-1"))
			announce = example;
		if (g_str_has_prefix(example->path, "/v1/bundle") &&
		    example->status == 200)
			example_run(example,
				    tb_proc_http(testbed_control(tb, 0)),
				    upstream, NULL, NULL);
		if (strcmp(example->method, "POST") != 0 ||
		    strcmp(example->target, "entry") != 0)
			continue;
		ck_assert(testbed_wait_http(testbed_entry(tb, 0), "/-/readyz",
					    READY_MS));
		for (int times = 0; times < 3; times++)
			example_run(example, tb_proc_http(testbed_entry(tb, 0)),
				    upstream, announce, agent);
	}
	ck_assert_uint_eq(testbed_journal_count(tb, "ev=run", NULL), 1);
	g_ptr_array_unref(examples);
	testbed_free(tb);
}
END_TEST

/* Guards against exit codes that don't tell scripts the kind of the failure. */
START_TEST(test_tool_exit_codes)
{
	struct testbed *tb = site_open();
	char *invalid = testbed_write(tb, "bad.json",
				      "{\"version\": 1, \"zones\": []}");
	char *truncated = testbed_write(tb, "torn.json", "{\"version\": ");
	char *out = NULL;

	ck_assert(testbed_bundle(tb,
				 "{\"version\": 1,"
				 " \"zones\": [{\"name\": \"veraval\"}]}",
				 1));
	ck_assert(testbed_wait_tool(tb, "vm-1", READY_MS, "vm", "list", NULL));
	ck_assert_int_eq(testbed_tool(tb, NULL, "status", NULL), 0);
	ck_assert_int_eq(testbed_tool(tb, NULL, "zone", "sideways", NULL), 2);
	ck_assert_int_eq(
		testbed_tool(tb, NULL, "bundle", "check", truncated, NULL), 3);
	ck_assert_int_eq(
		testbed_tool(tb, NULL, "bundle", "check", invalid, NULL), 4);
	ck_assert_int_eq(
		testbed_tool(tb, NULL, "bundle", "submit", invalid, NULL), 2);
	ck_assert_int_eq(testbed_tool(tb, NULL, "bundle", "sign-off",
				      "--bundle-version", "9", "--digest", "00",
				      "--by", "asha", NULL),
			 6);
	ck_assert_int_eq(testbed_tool(tb, &out, "--json", "vm", "list", NULL),
			 0);
	ck_assert(strstr(out, "\"vm-1\"") != NULL);
	g_free(out);
	tb_proc_signal(testbed_control(tb, 0), SIGKILL);
	ck_assert_int_eq(testbed_tool(tb, NULL, "--control", "127.0.0.1:1",
				      "--timeout-ms", "300", "status", NULL),
			 30);
	g_free(invalid);
	g_free(truncated);
	testbed_free(tb);
}
END_TEST

#define DEEP_LEVELS 400000 /* files of bundles have at most 1 MiB */

/* Returns a JSON document that overflows a recursive parser's stack. */
static char *deep_document(void)
{
	GString *text = g_string_new("{\"zones\":");

	for (uint32_t i = 0; i < DEEP_LEVELS; i++)
		g_string_append_c(text, '[');
	for (uint32_t i = 0; i < DEEP_LEVELS; i++)
		g_string_append_c(text, ']');
	g_string_append_c(text, '}');
	return g_string_free(text, FALSE);
}

/*
 * Guards against deeply nested documents, in a call of /v1 or in a file for the
 * tool, that crash the process.
 */
START_TEST(test_nested_documents)
{
	struct testbed *tb = site_open();
	char *text = deep_document();
	char *path = testbed_write(tb, "deep.json", text);
	char *answer = NULL;

	ck_assert_uint_eq(tb_request(testbed_control(tb, 0), "POST",
				     "/v1/bundle/check", NULL, text, &answer),
			  400);
	ck_assert_ptr_nonnull(strstr(answer, "\"result\":3"));
	ck_assert_ptr_nonnull(strstr(answer, "nested"));
	g_free(answer);
	ck_assert_uint_eq(tb_request(testbed_agent(tb, 0), "PUT",
				     "/v1/upstreams/desk-1", NULL, text,
				     &answer),
			  400);
	ck_assert_ptr_nonnull(strstr(answer, "\"code\":3"));
	ck_assert_ptr_nonnull(strstr(answer, "nested"));
	g_free(answer);
	ck_assert_int_eq(testbed_tool(tb, NULL, "bundle", "check", path, NULL),
			 3);
	ck_assert_int_eq(testbed_tool(tb, NULL, "job", "submit", path, NULL),
			 3);
	ck_assert_int_eq(testbed_tool(tb, NULL, "status", NULL), 0);
	g_free(path);
	g_free(text);
	testbed_free(tb);
}
END_TEST

#define TOOL_UNKNOWN "{\"result\":18}" /* the outcome is unknown */

/* A simulated control process with scripted answers. */
struct fake_control {
	SoupServer *server;
	char *address;
	const char *first;
	const char *next; /* answer to requests of further pages, or to a
			   * change that is sent again */
	/** First page after a change, whose outcome is unknown; or NULL. */
	const char *changed;
	uint32_t nr_calls;
	uint32_t nr_changes;
};

static void fake_control_serve(SoupServer *server, SoupServerMessage *msg,
			       const char *path, GHashTable *query,
			       gpointer data)
{
	struct fake_control *fake = data;
	bool change = strcmp(soup_server_message_get_method(msg), "GET") != 0;
	bool again = change ? fake->nr_changes > 0 : query != NULL;
	const char *text = again ? fake->next : fake->first;

	if (change && !again && fake->changed)
		text = TOOL_UNKNOWN;
	else if (!change && !again && fake->nr_changes && fake->changed)
		text = fake->changed;
	fake->nr_changes += change;

	/* Ends the list, so that a tool that requests pages forever fails. */
	if (++fake->nr_calls > 20)
		text = "{\"zones\":[]}";
	soup_server_message_set_status(msg, 200, NULL);
	soup_server_message_set_response(msg, "application/json",
					 SOUP_MEMORY_STATIC, text,
					 strlen(text));
}

static void fake_control_open(struct fake_control *fake)
{
	GSList *uris;

	fake->server = soup_server_new(NULL, NULL);
	soup_server_add_handler(fake->server, NULL, fake_control_serve, fake,
				NULL);
	ck_assert(soup_server_listen_local(fake->server, 0,
					   SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
	uris = soup_server_get_uris(fake->server);
	fake->address =
		g_strdup_printf("127.0.0.1:%d", g_uri_get_port(uris->data));
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
}

static void fake_control_close(struct fake_control *fake)
{
	soup_server_disconnect(fake->server);
	g_object_unref(fake->server);
	g_free(fake->address);
}

static void tool_done(GObject *process, GAsyncResult *res, gpointer data)
{
	char **out = data;

	ck_assert(g_subprocess_communicate_utf8_finish(G_SUBPROCESS(process),
						       res, out, NULL, NULL));
}

/* Runs a command of the tool against the simulated control. */
static int tool_run(struct fake_control *fake, const char *command, char **out)
{
	char *folder = g_path_get_dirname(program);
	char *line = g_strdup_printf("%s/../src/tool/masticreach --control %s "
				     "%s",
				     folder, fake->address, command);
	char **argv = g_strsplit(line, " ", -1);
	GSubprocess *process;
	int code;

	fake->nr_calls = 0;
	fake->nr_changes = 0;
	*out = NULL;
	process = g_subprocess_newv((const char *const *)argv,
				    G_SUBPROCESS_FLAGS_STDOUT_PIPE, NULL);
	ck_assert_ptr_nonnull(process);
	g_subprocess_communicate_utf8_async(process, NULL, NULL, tool_done,
					    out);
	while (!*out)
		g_main_context_iteration(NULL, TRUE);
	code = g_subprocess_get_if_exited(process) ?
		       g_subprocess_get_exit_status(process) :
		       -1;
	g_object_unref(process);
	g_strfreev(argv);
	g_free(line);
	g_free(folder);
	return code;
}

#define DEEP_VALUE                                   \
	"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[" \
	"]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]"

#define IN_FORCE                                                        \
	"{\"version\":7,\"zones\":[{\"name\":\"z\"}],\"digest\":\"d\"," \
	"\"signed_by\":\"asha\",\"document\":\"\"}"

/*
 * Guards against a check that changes something at control, that takes another
 * version for the one in force, or that passes if that one can't be read.
 */
START_TEST(test_tool_config_check)
{
	static const struct {
		const char *answer;
		const char *against;
		int code;
		const char *shown;
	} cases[] = {
		{ IN_FORCE, "7", 0, "changed bundle: version: 7 -> 8" },
		{ IN_FORCE, "6", 6, "" },
		{ "{\"result\":28}", "7", 28, "" },
		{ "{\"version\":\"7\"}", "7", 3, "" },
		{ "{\"version\":7,\"zones\":" DEEP_VALUE "}", "7", 3, "" },
	};
	char *path = NULL;
	int fd = g_file_open_tmp("contract-XXXXXX", &path, NULL);

	ck_assert_int_ge(fd, 0);
	g_close(fd, NULL);
	ck_assert(g_file_set_contents(
		path, "{\"version\":8,\"zones\":[{\"name\":\"z\"}]}", -1,
		NULL));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fake_control fake = { .first = cases[i].answer };
		char *command = g_strdup_printf("config check %s --against %s",
						path, cases[i].against);
		char *out;

		fake_control_open(&fake);
		ck_assert_int_eq(tool_run(&fake, command, &out), cases[i].code);
		ck_assert_msg(strstr(out, cases[i].shown) != NULL, "%s", out);
		ck_assert_uint_eq(fake.nr_changes, 0);
		ck_assert_uint_eq(fake.nr_calls, 1);
		g_free(out);
		g_free(command);
		fake_control_close(&fake);
	}
	g_unlink(path);
	g_free(path);
}
END_TEST

/*
 * Guards against unreadable rows that make the tool request the same page
 * forever, drop the other rows or report success.
 */
START_TEST(test_tool_invalid_answers)
{
	static const char end[] = "{\"zones\":[]}";
	static const struct {
		const char *first;
		int code;
		uint32_t nr_calls;
		const char *shown;
	} cases[] = {
		{ "{\"zones\":[{\"zone\":{\"name\":\"aa\"}},7]}", 0, 2, "aa" },
		{ "{\"zones\":[{\"zone\":{\"name\":" DEEP_VALUE "}},"
		  "{\"zone\":{\"name\":\"aa\"}}]}",
		  0, 2, "aa" },
		{ "{\"zones\":[{\"zone\":{\"name\":\"aa\"}},"
		  "{\"zone\":{\"name\":1e400}}]}",
		  0, 2, "aa" },
		{ "{\"zones\":[7,{\"zone\":8}]}", 3, 1, "ZONE" },
		{ "{\"zones\":7}", 3, 1, "" },
		{ "{}", 3, 1, "" },
		{ "[1]", 3, 1, "" },
		{ "{\"result\":\"x\"}", 3, 1, "" },
		{ "{\"result\":256}", 3, 1, "" },
		{ "{\"code\":{}}", 3, 1, "" },
		{ "{\"zones\":[]", 3, 1, "" },
	};
	struct fake_control fake = { .next = end };
	char *out;

	fake_control_open(&fake);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fake.first = cases[i].first;
		ck_assert_msg(tool_run(&fake, "zone list", &out) ==
				      cases[i].code,
			      "%s: %s", cases[i].first, out);
		ck_assert_msg(fake.nr_calls == cases[i].nr_calls,
			      "%s: %u calls", cases[i].first, fake.nr_calls);
		ck_assert_msg(strstr(out, cases[i].shown) != NULL, "%s: %s",
			      cases[i].first, out);
		g_free(out);
	}
	fake.first = "[1]";
	ck_assert_int_eq(tool_run(&fake, "status", &out), 3);
	g_free(out);
	fake.first = "{\"members\":7}";
	ck_assert_int_eq(tool_run(&fake, "member list", &out), 3);
	g_free(out);
	fake_control_close(&fake);
}
END_TEST

/*
 * Guards against a change that the tool reports as refused because its second
 * copy was refused, though the first one may have been carried out.
 */
START_TEST(test_tool_refused_copy)
{
	static const char unknown[] = TOOL_UNKNOWN;
	static const char refused[] = "{\"result\":6}";
	struct fake_control fake = { .first = unknown, .next = refused };
	char *out;

	fake_control_open(&fake);
	ck_assert_int_eq(tool_run(&fake, "member remove 7", &out), 18);
	ck_assert_uint_eq(fake.nr_calls, 2);
	g_free(out);
	fake.first = refused;
	ck_assert_int_eq(tool_run(&fake, "member remove 7", &out), 6);
	ck_assert_uint_eq(fake.nr_calls, 1);
	g_free(out);
	fake.first = unknown;
	fake.next = "{\"result\":0}";
	ck_assert_int_eq(tool_run(&fake, "member remove 7", &out), 0);
	g_free(out);
	fake_control_close(&fake);
}
END_TEST

#define ZONE_PAGE(version, by)                                       \
	"{\"zones\":[{\"zone\":{\"name\":\"veraval\",\"out\":false," \
	"\"version\":" version ",\"changed_by\":\"" by "\"}}]}"

/*
 * Guards against a change of a zone that is reported as not made because
 * another change followed it before the tool had read the zone again.
 */
START_TEST(test_tool_zone_changed_twice)
{
	struct fake_control fake = { .first = ZONE_PAGE("1", "ravi"),
				     .next = "{\"zones\":[]}" };
	char *out;

	fake_control_open(&fake);
	fake.changed = ZONE_PAGE("3", "ravi");
	ck_assert_int_eq(tool_run(&fake, "zone out veraval --by asha", &out),
			 18);
	ck_assert_uint_eq(fake.nr_changes, 1);
	g_free(out);
	/* Only the other change was made. */
	fake.changed = ZONE_PAGE("2", "ravi");
	ck_assert_int_eq(tool_run(&fake, "zone out veraval --by asha", &out),
			 8);
	g_free(out);
	fake_control_close(&fake);
}
END_TEST

/* Guards against a process that doesn't end, or that spins while it waits. */
START_TEST(test_processes_wait_and_end)
{
	struct testbed *tb = site_open();
	struct tb_proc *procs[3] = { testbed_entry(tb, 0), testbed_agent(tb, 0),
				     testbed_control(tb, 0) };

	testbed_wait_ms(2000);
	for (size_t i = 0; i < G_N_ELEMENTS(procs); i++) {
		char *text = NULL;
		const char *cpu;

		ck_assert_uint_eq(tb_request(procs[i], "GET", "/-/metrics",
					     NULL, NULL, &text),
				  200);
		cpu = strstr(text, "\nmasticreach_process_cpu_us ");
		ck_assert_ptr_nonnull(cpu);
		/* A process that spins uses 2 s of CPU time. */
		ck_assert_uint_lt(strtoul(strchr(cpu, ' '), NULL, 10), 1000000);
		g_free(text);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(procs); i++) {
		tb_proc_signal(procs[i], SIGTERM);
		ck_assert_int_eq(tb_proc_wait(procs[i], READY_MS), 0);
	}
	testbed_free(tb);
}
END_TEST

/* Fills a pipe, so that the next write blocks. */
static void pipe_fill(int fd)
{
	static const char block[4096];

	ck_assert_int_eq(fcntl(fd, F_SETFL, O_NONBLOCK), 0);
	while (write(fd, block, sizeof(block)) > 0)
		;
	ck_assert_int_eq(fcntl(fd, F_SETFL, 0), 0);
}

static void pipe_drain(int fd)
{
	char block[4096];

	while (read(fd, block, sizeof(block)) > 0)
		;
}

/*
 * Guards against a process that is killed by a SIGHUP before its main loop runs
 * (soak, seed 636: "entry-1 ended by itself with code -1"). The node file is a
 * FIFO and standard error a full pipe: the process blocks on its error message
 * until the signal has been sent.
 */
START_TEST(test_reload_while_starting)
{
	char *folder = g_path_get_dirname(program);
	char *daemon = g_build_filename(folder, "..", "masticreachd", NULL);
	char *settings_dir = g_dir_make_tmp(NULL, NULL);
	char *fifo = g_build_filename(settings_dir, "node.conf", NULL);
	GSubprocessLauncher *launcher =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
	GSubprocess *process;
	int errors[2];

	ck_assert_int_eq(mkfifo(fifo, 0600), 0);
	ck_assert(g_unix_open_pipe(errors, FD_CLOEXEC, NULL));
	pipe_fill(errors[1]);
	g_subprocess_launcher_take_stderr_fd(launcher, errors[1]);
	process = g_subprocess_launcher_spawn(launcher, NULL, daemon,
					      "--node-file", fifo, NULL);
	ck_assert_ptr_nonnull(process);
	g_object_unref(launcher);
	/* open() returns when the process opens its node file. */
	close(open(fifo, O_WRONLY));
	g_subprocess_send_signal(process, SIGHUP);
	testbed_wait_ms(100);
	pipe_drain(errors[0]);
	ck_assert(g_subprocess_wait(process, NULL, NULL));
	ck_assert(g_subprocess_get_if_exited(process));
	ck_assert_int_ne(g_subprocess_get_exit_status(process), 0);
	g_object_unref(process);
	close(errors[0]);
	g_unlink(fifo);
	g_rmdir(settings_dir);
	g_free(fifo);
	g_free(settings_dir);
	g_free(daemon);
	g_free(folder);
}
END_TEST

int main(int argc, char **argv)
{
	const TTest *const tests[] = {
		test_examples,
		test_resend_with_key,
		test_tool_exit_codes,
		test_nested_documents,
		test_tool_invalid_answers,
		test_tool_config_check,
		test_tool_refused_copy,
		test_tool_zone_changed_twice,
		test_processes_wait_and_end,
		test_reload_while_starting,
	};

	program = argv[0];
	return suite_run("contract", tests, G_N_ELEMENTS(tests));
}
