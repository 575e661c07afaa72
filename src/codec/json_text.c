#include "json_text.h"

#include <stdbool.h>
#include <string.h>

#define FAULT_END "the text ends early"
#define FAULT_TRAILING "text behind the document"
#define FAULT_CHARACTER "a character that is not JSON"
#define FAULT_ESCAPE "a string with an escape that is not JSON"
#define FAULT_DIGITS "a number that is not JSON"
#define FAULT_ORDER "a value or separator at the wrong place"
#define FAULT_NESTING \
	"nested more than " G_STRINGIFY(JSON_NESTING_MAX) " levels deep"
#define FAULT_TEXT "a string that is not valid Unicode or holds a NUL"
#define FAULT_NUMBER "a number below the range of 64 bits"

/*
 * State of the tokenizer that checks a text before json-glib parses it. The
 * tokenizer only checks tokens and their nesting, since json-glib checks the
 * order of tokens.
 */
struct json_scan {
	const char *text;
	const char *at; /* next character */
	const char *end;
	uint32_t depth; /* number of open arrays and objects */
	bool ended; /* the document's value is complete */
	const char *deep_from; /* open value nested too deeply, or NULL */
	/**
	 * Copy of the text with null in place of unreadable values. NULL: such
	 * values are faults.
	 */
	GString *out;
	const char *copied; /* end of the text that is already in out */
	uint32_t nr_replaced;
	const char *fault; /* why the text is refused, static, or NULL */
};

static bool scan_fail(struct json_scan *scan, const char *fault)
{
	scan->fault = fault;
	return false;
}

/* Returns the next character, 0 at the end of the text. */
static char scan_peek(const struct json_scan *scan)
{
	if (scan->at >= scan->end)
		return 0;
	return *scan->at;
}

static bool scan_take(struct json_scan *scan, char wanted)
{
	if (scan->at == scan->end || *scan->at != wanted)
		return false;
	scan->at++;
	return true;
}

static void scan_spaces(struct json_scan *scan)
{
	while (scan_take(scan, ' ') || scan_take(scan, '\t') ||
	       scan_take(scan, '\n') || scan_take(scan, '\r'))
		;
}

/*
 * Handles a value that is JSON but can't be passed to json-glib, from @a from
 * to the current position. Replaces the value by null, or fails with @a fault
 * if values aren't replaced.
 */
static bool scan_replace_value(struct json_scan *scan, const char *from,
			       const char *fault)
{
	if (!scan->out)
		return scan_fail(scan, fault);
	if (scan->deep_from)
		return true; /* an enclosing value will be replaced */
	g_string_append_len(scan->out, scan->copied, from - scan->copied);
	scan->copied = scan->at;
	scan->nr_replaced++;
	scan_spaces(scan);
	/* The name of a member has to stay a string. */
	g_string_append(scan->out, *from == '"' && scan_peek(scan) == ':' ?
					   "\"\"" :
					   "null");
	return true;
}

static bool scan_hex(struct json_scan *scan, uint32_t *code)
{
	*code = 0;
	for (int i = 0; i < 4; i++, scan->at++) {
		if (!g_ascii_isxdigit(scan_peek(scan)))
			return false;
		*code = *code << 4 | (uint32_t)g_ascii_xdigit_value(*scan->at);
	}
	return true;
}

/*
 * Scans the low surrogate after the high surrogate of a pair. Clears @a valid
 * if there is none. Returns false if the escape sequence isn't JSON.
 */
static bool scan_low_surrogate(struct json_scan *scan, bool *valid)
{
	uint32_t code;

	if (scan->end - scan->at < 2 || memcmp(scan->at, "\\u", 2) != 0) {
		*valid = false;
		return true;
	}
	scan->at += 2;
	if (!scan_hex(scan, &code))
		return false;
	*valid = *valid && code >= 0xdc00 && code < 0xe000;
	return true;
}

/*
 * Scans an escape sequence after its backslash. Clears @a valid if the escaped
 * character can't be part of a string: a NUL or an unpaired surrogate. Returns
 * false if the escape sequence isn't JSON.
 */
static bool scan_escape(struct json_scan *scan, bool *valid)
{
	char c = scan_peek(scan);
	uint32_t code;

	if (!c || !strchr("\"\\/bfnrtu", c))
		return false;
	scan->at++;
	if (c != 'u')
		return true;
	if (!scan_hex(scan, &code))
		return false;
	if (code >= 0xd800 && code < 0xdc00)
		return scan_low_surrogate(scan, valid);
	*valid = *valid && code && (code < 0xdc00 || code >= 0xe000);
	return true;
}

static bool scan_string(struct json_scan *scan)
{
	const char *from = scan->at++;
	bool valid = true;

	while (scan->at < scan->end && *scan->at != '"') {
		if (*scan->at++ == '\\' && !scan_escape(scan, &valid))
			return scan_fail(scan, FAULT_ESCAPE);
	}
	if (!scan_take(scan, '"'))
		return scan_fail(scan, FAULT_END);
	if (!valid || !g_utf8_validate(from, scan->at - from, NULL))
		return scan_replace_value(scan, from, FAULT_TEXT);
	return true;
}

static bool scan_digits(struct json_scan *scan)
{
	const char *from = scan->at;

	while (g_ascii_isdigit(scan_peek(scan)))
		scan->at++;
	return scan->at > from;
}

static bool digits_exceed(const char *from, const char *to, uint64_t max)
{
	uint64_t value = 0;

	for (; from < to; from++) {
		uint64_t digit = (uint64_t)(*from - '0');

		if (value > (max - digit) / 10)
			return true;
		value = value * 10 + digit;
	}
	return false;
}

static bool scan_number(struct json_scan *scan)
{
	const char *from = scan->at;
	bool negative = scan_take(scan, '-');
	const char *digits = scan->at;
	const char *digits_end;

	/* json-glib would read a number that begins with 0 as octal. */
	if (!scan_take(scan, '0') && !scan_digits(scan))
		return scan_fail(scan, FAULT_DIGITS);
	digits_end = scan->at;
	if (g_ascii_isdigit(scan_peek(scan)) ||
	    (scan_take(scan, '.') && !scan_digits(scan)))
		return scan_fail(scan, FAULT_DIGITS);
	if (scan_take(scan, 'e') || scan_take(scan, 'E')) {
		if (!scan_take(scan, '+'))
			scan_take(scan, '-');
		if (!scan_digits(scan))
			return scan_fail(scan, FAULT_DIGITS);
	}
	/*
	 * json-glib reads an integer above the range of 64 bits as a negative
	 * number, which all callers refuse, but an integer below that range as
	 * a positive number.
	 */
	if (negative && scan->at == digits_end &&
	    digits_exceed(digits, digits_end, (uint64_t)G_MAXINT64 + 1))
		return scan_replace_value(scan, from, FAULT_NUMBER);
	return true;
}

static bool scan_word(struct json_scan *scan)
{
	static const char *const words[] = { "true", "false", "null" };
	size_t left = (size_t)(scan->end - scan->at);

	for (size_t i = 0; i < G_N_ELEMENTS(words); i++) {
		size_t size = strlen(words[i]);

		if (size <= left && !memcmp(scan->at, words[i], size)) {
			scan->at += size;
			return true;
		}
	}
	return scan_fail(scan, FAULT_CHARACTER);
}

static bool scan_open(struct json_scan *scan)
{
	if (++scan->depth == JSON_NESTING_MAX + 1) {
		if (!scan->out)
			return scan_fail(scan, FAULT_NESTING);
		scan->deep_from = scan->at;
	}
	scan->at++;
	return true;
}

static bool scan_close(struct json_scan *scan)
{
	const char *from = scan->deep_from;

	if (!scan->depth)
		return scan_fail(scan, FAULT_ORDER);
	scan->at++;
	if (--scan->depth != JSON_NESTING_MAX || !from)
		return true;
	scan->deep_from = NULL;
	return scan_replace_value(scan, from, FAULT_NESTING);
}

static bool scan_token(struct json_scan *scan)
{
	switch (*scan->at) {
	case '[':
	case '{':
		return scan_open(scan);
	case ']':
	case '}':
		return scan_close(scan);
	case ',':
	case ':':
		scan->at++;
		return true;
	case '"':
		return scan_string(scan);
	case '-':
		return scan_number(scan);
	default:
		return g_ascii_isdigit(*scan->at) ? scan_number(scan) :
						    scan_word(scan);
	}
}

static void scan_run(struct json_scan *scan)
{
	scan_spaces(scan);
	while (scan->at < scan->end && !scan->fault) {
		/* json-glib would ignore text after the document. */
		if (scan->ended) {
			scan_fail(scan, FAULT_TRAILING);
			break;
		}
		if (!scan_token(scan))
			break;
		scan->ended = !scan->depth;
		scan_spaces(scan);
	}
	if (!scan->fault && !scan->ended)
		scan_fail(scan, FAULT_END);
}

static struct json_parse_error scan_error(const struct json_scan *scan)
{
	struct json_parse_error error = { scan->fault, 1, 1 };

	for (const char *c = scan->text; c < scan->at; c++) {
		error.line += *c == '\n';
		error.column = *c == '\n' ? 1 : error.column + 1;
	}
	return error;
}

/* Parses text that scan_run() has checked, and returns a new node or NULL. */
static JsonNode *scan_load(const char *text, gsize size,
			   struct json_parse_error *error)
{
	JsonParser *parser = json_parser_new();
	JsonNode *root = NULL;

	if (json_parser_load_from_data(parser, text, (gssize)size, NULL))
		root = json_parser_steal_root(parser);
	if (!root) {
		error->reason = FAULT_ORDER;
		error->line = json_parser_get_current_line(parser);
		error->column = json_parser_get_current_pos(parser);
	}
	g_object_unref(parser);
	return root;
}

static JsonNode *scan_parse(struct json_scan *scan, const char *text,
			    gssize size, struct json_parse_error *error)
{
	memset(error, 0, sizeof(*error));
	if (size < 0)
		size = (gssize)strlen(text);
	scan->text = scan->at = scan->copied = size ? text : "";
	scan->end = scan->text + size;
	scan_run(scan);
	if (scan->fault) {
		*error = scan_error(scan);
		return NULL;
	}
	if (!scan->nr_replaced)
		return scan_load(text, (gsize)size, error);
	g_string_append_len(scan->out, scan->copied, scan->end - scan->copied);
	return scan_load(scan->out->str, scan->out->len, error);
}

char *json_parse_error_text(const struct json_parse_error *error)
{
	return g_strdup_printf("line %u, column %u: %s", error->line,
			       error->column, error->reason);
}

JsonNode *json_parse(const char *text, gssize size,
		     struct json_parse_error *error)
{
	struct json_scan scan = { 0 };

	return scan_parse(&scan, text, size, error);
}

JsonNode *json_parse_list(const char *text, gssize size, uint32_t *nr_replaced,
			  struct json_parse_error *error)
{
	struct json_scan scan = { .out = g_string_new(NULL) };
	JsonNode *root = scan_parse(&scan, text, size, error);

	*nr_replaced = scan.nr_replaced;
	g_string_free(scan.out, TRUE);
	return root;
}
