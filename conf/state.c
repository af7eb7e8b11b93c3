#include "conf/conf_int.h"

#include <ck_pr.h>
#include <stdio.h>

/* Context of conf_for_each(). */
struct conf_walk {
	conf_visit_fn fn;
	void *ctx;
};

/* Context of conf_check_state(). */
struct conf_check_walk {
	const struct conf_state *state;
	struct conf_problem *problem;
	bool ok; /* no error has been found so far */
};

/* Context of conf_diff(). */
struct conf_diff_walk {
	const struct conf_state *other; /* state that the objects are compared with */
	GString *out;
};

static gint conf_name_cmp(gconstpointer a, gconstpointer b, gpointer ctx);
static void conf_write_obj(void *ctx, const struct conf_obj *obj);
static bool conf_obj_eq(const struct conf_obj *a, const struct conf_obj *b);

/*
 * Order in which kinds are exported: an object comes before the objects that refer to it. This is
 * the order of enum conf_kind, except that accounts follow models because they refer to them.
 */
static const enum conf_kind conf_export_order[CONF_KIND_COUNT] = {
	CONF_MODEL, CONF_ACCOUNT, CONF_OPERATOR, CONF_ENDPOINT, CONF_LINK, CONF_SERVICE, CONF_HOST,
};

static gint conf_name_cmp(gconstpointer a, gconstpointer b, gpointer ctx)
{
	(void)ctx;
	return strcmp(a, b);
}

struct conf_state *conf_state_new(void)
{
	struct conf_state *state = g_new0(struct conf_state, 1);

	state->refs = 1;
	for (int kind = 0; kind < CONF_KIND_COUNT; kind++)
		state->objs[kind] =
			g_tree_new_full(conf_name_cmp, NULL, NULL, (GDestroyNotify)conf_obj_free);
	return state;
}

struct conf_state *conf_state_ref(struct conf_state *state)
{
	ck_pr_inc_int(&state->refs);
	return state;
}

void conf_state_unref(struct conf_state *state)
{
	if (!state || ck_pr_faa_int(&state->refs, -1) != 1)
		return;
	for (int kind = 0; kind < CONF_KIND_COUNT; kind++)
		g_tree_unref(state->objs[kind]);
	g_free(state);
}

struct conf_obj *conf_obj_new(enum conf_kind kind, struct str name)
{
	struct conf_obj *obj = g_new0(struct conf_obj, 1);
	const struct conf_schema *schema = conf_schema(kind);

	obj->kind = kind;
	obj->name = str_dup(name);
	for (int i = 0; i < schema->attr_count; i++) {
		if (schema->attrs[i].default_text)
			conf_attr_set(obj, i, str_from_cstr(schema->attrs[i].default_text));
	}
	return obj;
}

struct conf_obj *conf_obj_copy(const struct conf_obj *obj)
{
	struct conf_obj *copy = g_memdup2(obj, sizeof(*obj));

	copy->name = g_strdup(obj->name);
	for (int i = 0; i < CONF_ATTR_MAX; i++)
		copy->text[i] = g_strdup(obj->text[i]);
	return copy;
}

void conf_obj_free(struct conf_obj *obj)
{
	for (int i = 0; i < CONF_ATTR_MAX; i++)
		g_free(obj->text[i]);
	g_free(obj->name);
	g_free(obj);
}

const struct conf_obj *conf_get(const struct conf_state *state, enum conf_kind kind,
				const char *name)
{
	return g_tree_lookup(state->objs[kind], name);
}

guint conf_count(const struct conf_state *state, enum conf_kind kind)
{
	return (guint)g_tree_nnodes(state->objs[kind]);
}

static gboolean conf_visit(gpointer key, gpointer value, gpointer ctx)
{
	struct conf_walk *walk = ctx;

	(void)key;
	walk->fn(walk->ctx, value);
	return FALSE;
}

void conf_for_each(const struct conf_state *state, enum conf_kind kind, conf_visit_fn fn, void *ctx)
{
	struct conf_walk walk = {fn, ctx};

	g_tree_foreach(state->objs[kind], conf_visit, &walk);
}

static void conf_copy_obj_into(void *ctx, const struct conf_obj *obj)
{
	struct conf_state *copy = ctx;
	struct conf_obj *duplicate = conf_obj_copy(obj);

	g_tree_insert(copy->objs[obj->kind], duplicate->name, duplicate);
}

struct conf_state *conf_state_copy(const struct conf_state *state)
{
	struct conf_state *copy = conf_state_new();

	for (int kind = 0; kind < CONF_KIND_COUNT; kind++)
		conf_for_each(state, kind, conf_copy_obj_into, copy);
	return copy;
}

/* Appends the object as one statement with all its attributes. */
static void conf_write_obj(void *ctx, const struct conf_obj *obj)
{
	GString *out = ctx;
	const struct conf_schema *schema = conf_schema(obj->kind);

	g_string_append_printf(out, "%s %s", schema->name, obj->name);
	for (int i = 0; i < schema->attr_count; i++)
		g_string_append_printf(out, " %s %s", schema->attrs[i].name, obj->text[i]);
	g_string_append_c(out, '\n');
}

void conf_export(const struct conf_state *state, GString *out)
{
	for (int i = 0; i < CONF_KIND_COUNT; i++)
		conf_for_each(state, conf_export_order[i], conf_write_obj, out);
}

static bool conf_obj_eq(const struct conf_obj *a, const struct conf_obj *b)
{
	for (int i = 0; i < conf_schema(a->kind)->attr_count; i++) {
		if (strcmp(a->text[i], b->text[i]) != 0)
			return false;
	}
	return true;
}

bool conf_state_has_same_obj(const struct conf_state *state, const struct conf_obj *obj)
{
	const struct conf_obj *other = conf_get(state, obj->kind, obj->name);

	return other && conf_obj_eq(other, obj);
}

static void conf_write_changed(void *ctx, const struct conf_obj *obj)
{
	struct conf_diff_walk *walk = ctx;

	if (!conf_state_has_same_obj(walk->other, obj))
		conf_write_obj(walk->out, obj);
}

static void conf_write_deleted(void *ctx, const struct conf_obj *obj)
{
	struct conf_diff_walk *walk = ctx;

	if (!conf_get(walk->other, obj->kind, obj->name))
		g_string_append_printf(walk->out, "delete %s %s\n", conf_kind_name(obj->kind),
				       obj->name);
}

void conf_diff(const struct conf_state *from, const struct conf_state *to, GString *out)
{
	struct conf_diff_walk changed = {from, out};
	struct conf_diff_walk deleted = {to, out};

	for (int i = 0; i < CONF_KIND_COUNT; i++)
		conf_for_each(to, conf_export_order[i], conf_write_changed, &changed);
	for (int i = CONF_KIND_COUNT - 1; i >= 0; i--)
		conf_for_each(from, conf_export_order[i], conf_write_deleted, &deleted);
}

bool conf_account_allows_model(const struct conf_obj *account, const char *model,
			       const char *version)
{
	const char *list = account->text[ACCOUNT_MODELS];
	gchar **parts;
	char *exact;
	bool found;

	if (strcmp(list, "*") == 0)
		return true;
	exact = g_strdup_printf("%s@%s", model, version);
	parts = g_strsplit(list, ",", -1);
	found = g_strv_contains((const gchar *const *)parts, model) ||
		g_strv_contains((const gchar *const *)parts, exact);
	g_strfreev(parts);
	g_free(exact);
	return found;
}

static bool conf_check_endpoint(const struct conf_state *state, const struct conf_obj *obj,
				struct conf_problem *problem)
{
	const struct conf_obj *model = conf_get(state, CONF_MODEL, obj->text[ENDPOINT_MODEL]);

	if (!model) {
		g_snprintf(problem->text, sizeof(problem->text),
			   "endpoint %s names model %s, which is not declared", obj->name,
			   obj->text[ENDPOINT_MODEL]);
		return false;
	}
	if (obj->last_layer >= model->value[MODEL_LAYERS]) {
		g_snprintf(problem->text, sizeof(problem->text),
			   "endpoint %s holds layer %d, but model %s has layers 0-%d", obj->name,
			   (int)obj->last_layer, model->name, (int)model->value[MODEL_LAYERS] - 1);
		return false;
	}
	return true;
}

static bool conf_check_account(const struct conf_state *state, const struct conf_obj *obj,
			       struct conf_problem *problem)
{
	gchar **models = g_strsplit(obj->text[ACCOUNT_MODELS], ",", -1);
	bool ok = true;

	for (gchar **m = models; ok && *m; m++) {
		if (strcmp(*m, "*") == 0)
			continue;
		g_strdelimit(*m, "@", '\0');
		if (conf_get(state, CONF_MODEL, *m))
			continue;
		g_snprintf(problem->text, sizeof(problem->text),
			   "account %s names model %s, which is not declared", obj->name, *m);
		ok = false;
	}
	g_strfreev(models);
	return ok;
}

static bool conf_check_link(const struct conf_state *state, const struct conf_obj *obj,
			    struct conf_problem *problem)
{
	for (int i = LINK_FROM; i <= LINK_TO; i++) {
		if (conf_get(state, CONF_ENDPOINT, obj->text[i]))
			continue;
		g_snprintf(problem->text, sizeof(problem->text),
			   "link %s names endpoint %s, which is not declared", obj->name,
			   obj->text[i]);
		return false;
	}
	return true;
}

bool conf_check_obj(const struct conf_state *state, const struct conf_obj *obj,
		    struct conf_problem *problem)
{
	switch (obj->kind) {
	case CONF_ENDPOINT:
		return conf_check_endpoint(state, obj, problem);
	case CONF_ACCOUNT:
		return conf_check_account(state, obj, problem);
	case CONF_LINK:
		return conf_check_link(state, obj, problem);
	default:
		return true;
	}
}

static void conf_check_visit(void *ctx, const struct conf_obj *obj)
{
	struct conf_check_walk *walk = ctx;

	if (walk->ok)
		walk->ok = conf_check_obj(walk->state, obj, walk->problem);
}

bool conf_check_state(const struct conf_state *state, struct conf_problem *problem)
{
	struct conf_check_walk walk = {state, problem, true};

	for (int kind = 0; kind < CONF_KIND_COUNT; kind++)
		conf_for_each(state, kind, conf_check_visit, &walk);
	return walk.ok;
}

char *conf_secret_hash(const char *salt, const char *secret)
{
	char *hash = g_compute_hmac_for_string(G_CHECKSUM_SHA256, (const guchar *)salt,
					       strlen(salt), secret, -1);
	char *salted = g_strdup_printf("%s:%s", salt, hash);

	g_free(hash);
	return salted;
}

bool conf_secret_matches(const char *salted_hash, const char *secret)
{
	const char *colon = strchr(salted_hash, ':');
	unsigned int differ = 0;
	char *salt;
	char *computed;

	if (!colon)
		return false;
	salt = g_strndup(salted_hash, (gsize)(colon - salted_hash));
	computed = conf_secret_hash(salt, secret);
	if (strlen(computed) == strlen(salted_hash)) {
		for (size_t i = 0; computed[i]; i++)
			differ |= (unsigned int)(computed[i] ^ salted_hash[i]);
	} else {
		differ = 1;
	}
	g_free(computed);
	g_free(salt);
	return differ == 0;
}

static const struct {
	int err;
	const char *text;
} conf_messages[] = {
	{CONF_ESYNTAX, "malformed statement"},
	{CONF_EREFERENCE, "statement refers to something that is not declared"},
	{CONF_ECONFLICT, "expected revision is not the current one"},
	{CONF_ERECORD, "malformed log record"},
	{CONF_EGAP, "log records are missing and no snapshot covers them"},
};

const char *conf_strerror(int err)
{
	for (size_t i = 0; i < G_N_ELEMENTS(conf_messages); i++) {
		if (conf_messages[i].err == err)
			return conf_messages[i].text;
	}
	return "unknown error";
}
