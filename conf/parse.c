#include "conf/conf_int.h"

#include <stdarg.h>
#include <stdio.h>

enum {
	/* Maximum number of words in a statement: KIND, NAME and one pair for each attribute. */
	CONF_WORDS_MAX = 2 * CONF_ATTR_MAX + 2
};

/* Kinds of statements. */
enum conf_verb {
	CONF_VERB_DECLARE, /* KIND NAME [ATTRIBUTE VALUE]... */
	CONF_VERB_DELETE,  /* delete KIND NAME */
	CONF_VERB_DRAIN,   /* drain host|endpoint NAME */
	CONF_VERB_ADMIT	   /* admit host|endpoint NAME */
};

/* One line of the statements, split into words. */
struct conf_line {
	struct conf_word words[CONF_WORDS_MAX];
	int count;	/* number of words */
	int number;	/* number of the line, counted from 1 */
	int end_column; /* column after the last word, counted from 1 */
};

/* First words of the statements that are not declarations. */
static const char *const conf_verbs[] = {
	[CONF_VERB_DECLARE] = NULL,
	[CONF_VERB_DELETE] = "delete",
	[CONF_VERB_DRAIN] = "drain",
	[CONF_VERB_ADMIT] = "admit",
};

static bool conf_split_line(struct str text, struct conf_line *line, struct conf_problem *problem);
static bool conf_apply_line(struct conf_state *state, const struct conf_line *line,
			    struct conf_problem *problem);
static bool conf_declare(struct conf_state *state, const struct conf_line *line,
			 struct conf_problem *problem);
static bool conf_delete(struct conf_state *state, const struct conf_line *line,
			struct conf_problem *problem);
static bool conf_set_admission(struct conf_state *state, const struct conf_line *line,
			       const char *value, struct conf_problem *problem);
static bool conf_set_problem(struct conf_problem *problem, const struct conf_line *line, int word,
			     const char *format, ...) G_GNUC_PRINTF(4, 5);

/*
 * Fills in the problem and returns false. word is the index of the invalid word, or the number of
 * words if a word is missing at the end of the line.
 */
static bool conf_set_problem(struct conf_problem *problem, const struct conf_line *line, int word,
			     const char *format, ...)
{
	va_list args;

	problem->line = line->number;
	problem->column = word < line->count ? line->words[word].column : line->end_column;
	va_start(args, format);
	g_vsnprintf(problem->text, sizeof(problem->text), format, args);
	va_end(args);
	return false;
}

/* Splits a line into words at white space; '#' starts a comment. */
static bool conf_split_line(struct str text, struct conf_line *line, struct conf_problem *problem)
{
	size_t i = 0;

	line->count = 0;
	while (i < text.len && text.data[i] != '#') {
		size_t start = i;

		if (g_ascii_isspace(text.data[i])) {
			i++;
			continue;
		}
		while (i < text.len && !g_ascii_isspace(text.data[i]) && text.data[i] != '#')
			i++;
		if (line->count == CONF_WORDS_MAX)
			return conf_set_problem(problem, line, line->count - 1, "too many words");
		line->words[line->count].text = str_make(text.data + start, i - start);
		line->words[line->count].column = (int)start + 1;
		line->count++;
		line->end_column = (int)i + 1;
	}
	return true;
}

/* Returns the index of the attribute of that name, or -1 if the kind has none. */
static int conf_attr_find(enum conf_kind kind, struct str name)
{
	const struct conf_schema *schema = conf_schema(kind);

	for (int i = 0; i < schema->attr_count; i++) {
		if (str_eq_cstr(name, schema->attrs[i].name))
			return i;
	}
	return -1;
}

/* Sets the attributes that a declaration gives after KIND NAME. */
static bool conf_declare_attrs(struct conf_obj *obj, const struct conf_line *line,
			       struct conf_problem *problem)
{
	for (int i = 2; i < line->count; i += 2) {
		struct str name = line->words[i].text;
		int attr = conf_attr_find(obj->kind, name);
		const char *expected;

		if (attr < 0)
			return conf_set_problem(problem, line, i, "%s has no attribute '%.*s'",
						conf_kind_name(obj->kind), (int)name.len,
						name.data);
		if (i + 1 == line->count)
			return conf_set_problem(problem, line, i + 1, "value of '%.*s' is missing",
						(int)name.len, name.data);
		expected = conf_attr_set(obj, attr, line->words[i + 1].text);
		if (expected)
			return conf_set_problem(
				problem, line, i + 1, "'%.*s' of '%.*s': expected %s",
				(int)line->words[i + 1].text.len, line->words[i + 1].text.data,
				(int)name.len, name.data, expected);
	}
	return true;
}

/* Declares a new object, or changes the given attributes of a declared one. */
static bool conf_declare(struct conf_state *state, const struct conf_line *line,
			 struct conf_problem *problem)
{
	enum conf_kind kind = conf_kind_from_name(line->words[0].text);
	const struct conf_schema *schema = conf_schema(kind);
	const struct conf_obj *old;
	struct conf_obj *obj;
	char *name;

	if (line->count < 2)
		return conf_set_problem(problem, line, 1, "name of the %s is missing",
					schema->name);
	if (!conf_is_valid_name(line->words[1].text))
		return conf_set_problem(problem, line, 1,
					"a name consists of letters, digits, '.', '_' and '-'");
	name = str_dup(line->words[1].text);
	old = conf_get(state, kind, name);
	obj = old ? conf_obj_copy(old) : conf_obj_new(kind, line->words[1].text);
	g_free(name);
	if (!conf_declare_attrs(obj, line, problem)) {
		conf_obj_free(obj);
		return false;
	}
	for (int i = 0; i < schema->attr_count; i++) {
		if (obj->text[i])
			continue;
		conf_obj_free(obj);
		return conf_set_problem(problem, line, line->count, "%s requires attribute '%s'",
					schema->name, schema->attrs[i].name);
	}
	g_tree_replace(state->objs[kind], obj->name, obj);
	return true;
}

static bool conf_delete(struct conf_state *state, const struct conf_line *line,
			struct conf_problem *problem)
{
	enum conf_kind kind;
	char *name;
	bool found;

	if (line->count != 3)
		return conf_set_problem(problem, line, line->count, "expected delete KIND NAME");
	kind = conf_kind_from_name(line->words[1].text);
	if (kind == CONF_KIND_COUNT)
		return conf_set_problem(problem, line, 1, "unknown kind");
	name = str_dup(line->words[2].text);
	found = g_tree_remove(state->objs[kind], name);
	g_free(name);
	if (!found)
		return conf_set_problem(problem, line, 2, "no such %s", conf_kind_name(kind));
	return true;
}

/*
 * Sets the state of a host or endpoint to "admitted" or "draining". A host need not be declared,
 * since the platform's list of hosts defines which hosts exist; an endpoint must be.
 */
static bool conf_set_admission(struct conf_state *state, const struct conf_line *line,
			       const char *value, struct conf_problem *problem)
{
	enum conf_kind kind = CONF_KIND_COUNT;
	const struct conf_obj *old;
	struct conf_obj *obj;
	char *name;

	if (line->count > 1)
		kind = conf_kind_from_name(line->words[1].text);
	if (kind != CONF_HOST && kind != CONF_ENDPOINT)
		return conf_set_problem(problem, line, 1, "expected host or endpoint");
	if (line->count != 3 || !conf_is_valid_name(line->words[2].text))
		return conf_set_problem(problem, line, 2, "expected one name");
	name = str_dup(line->words[2].text);
	old = conf_get(state, kind, name);
	g_free(name);
	if (!old && kind == CONF_ENDPOINT)
		return conf_set_problem(problem, line, 2, "no such endpoint");
	obj = old ? conf_obj_copy(old) : conf_obj_new(kind, line->words[2].text);
	conf_attr_set(obj, kind == CONF_HOST ? (int)HOST_STATE : (int)ENDPOINT_STATE,
		      str_from_cstr(value));
	g_tree_replace(state->objs[kind], obj->name, obj);
	return true;
}

static bool conf_apply_line(struct conf_state *state, const struct conf_line *line,
			    struct conf_problem *problem)
{
	struct str first = line->words[0].text;

	if (str_eq_cstr(first, conf_verbs[CONF_VERB_DELETE]))
		return conf_delete(state, line, problem);
	if (str_eq_cstr(first, conf_verbs[CONF_VERB_DRAIN]))
		return conf_set_admission(state, line, "draining", problem);
	if (str_eq_cstr(first, conf_verbs[CONF_VERB_ADMIT]))
		return conf_set_admission(state, line, "admitted", problem);
	if (conf_kind_from_name(first) != CONF_KIND_COUNT)
		return conf_declare(state, line, problem);
	return conf_set_problem(problem, line, 0, "unknown statement '%.*s'",
				(int)MIN(first.len, 40), first.data);
}

static bool conf_apply_lines(struct conf_state *state, struct str text,
			     struct conf_problem *problem)
{
	struct conf_line line = {.number = 0};
	size_t start = 0;

	for (size_t i = 0; i <= text.len; i++) {
		if (i < text.len && text.data[i] != '\n')
			continue;
		line.number++;
		if (!conf_split_line(str_make(text.data + start, i - start), &line, problem))
			return false;
		if (line.count > 0 && !conf_apply_line(state, &line, problem))
			return false;
		start = i + 1;
	}
	return true;
}

struct conf_state *conf_apply(const struct conf_state *state, struct str statements,
			      struct conf_problem *problem, int *err)
{
	struct conf_state *next = conf_state_copy(state);

	memset(problem, 0, sizeof(*problem));
	*err = CONF_ESYNTAX;
	if (conf_apply_lines(next, statements, problem)) {
		*err = CONF_EREFERENCE;
		if (conf_check_state(next, problem)) {
			*err = 0;
			return next;
		}
	}
	conf_state_unref(next);
	return NULL;
}
