#include "conf/clog.h"

#include <jansson.h>
#include <stdlib.h>

enum {
	CLOG_VERDICTS_MAX = 256, /* maximum number of verdicts kept */
	CLOG_ANY_REVISION = -1,	 /* the command may be applied to any revision */
	CLOG_COVERS_NONE = -1	 /* no usable snapshot was found */
};

/* A record that was read before the node was ready. */
struct clog_record {
	int64_t offset;
	json_t *json;
};

static void clog_apply(struct clog *clog, int64_t offset, json_t *record,
		       struct clog_verdict *verdict);
static void clog_apply_change(struct clog *clog, json_t *record, struct clog_verdict *verdict);
static int clog_load_snapshot(struct clog *clog, json_t *snapshot);
static void clog_on_snapshot(struct clog *clog, json_t *record);
static void clog_add_verdict(struct clog *clog, const struct clog_verdict *verdict);

static void clog_record_free(struct clog_record *record)
{
	json_decref(record->json);
	g_free(record);
}

void clog_init(struct clog *clog)
{
	memset(clog, 0, sizeof(*clog));
	clog->state = conf_state_new();
	clog->pending = g_ptr_array_new_with_free_func((GDestroyNotify)clog_record_free);
	clog->recent = g_queue_new();
	clog->snapshot_covers = -1;
}

void clog_finish(struct clog *clog)
{
	conf_state_unref(clog->state);
	g_ptr_array_free(clog->pending, TRUE);
	g_queue_free_full(clog->recent, g_free);
}

/* Returns a string member of the record, or "" if it has none. */
static const char *clog_json_text(const json_t *record, const char *key)
{
	const char *text = json_string_value(json_object_get(record, key));

	return text ? text : "";
}

static int64_t clog_revision_of(const json_t *snapshot)
{
	return json_integer_value(json_object_get(snapshot, "revision"));
}

static bool clog_is_snapshot(const json_t *record)
{
	return strcmp(clog_json_text(record, "type"), "snapshot") == 0;
}

/*
 * Records expire. If records that this node has not read yet have expired, applying the remaining
 * ones would skip changes and produce a configuration that no operator declared. The node therefore
 * starts over at the oldest retained record, and applies nothing until a snapshot covers the gap.
 * The old state stays in force meanwhile.
 */
int clog_on_oldest_offset(struct clog *clog, int64_t first)
{
	if (clog->next >= first)
		return 0;
	clog->ready = false;
	clog->next = first;
	g_ptr_array_set_size(clog->pending, 0);
	return CONF_EGAP;
}

int clog_on_record(struct clog *clog, int64_t offset, struct str data, struct clog_verdict *verdict)
{
	json_t *json = json_loadb(data.data, data.len, 0, NULL);
	int err = json_is_object(json) ? 0 : CONF_ERECORD;

	memset(verdict, 0, sizeof(*verdict));
	if (offset < clog->next) {
		json_decref(json);
		return 0;
	}
	clog->next = offset + 1;
	if (err == 0 && !clog->ready) {
		struct clog_record *record = g_new(struct clog_record, 1);

		record->offset = offset;
		record->json = json_incref(json);
		g_ptr_array_add(clog->pending, record);
	} else if (err == 0) {
		clog_apply(clog, offset, json, verdict);
	}
	json_decref(json);
	return err;
}

/*
 * Loads the newest usable snapshot and applies the records that it does not cover. Without a
 * snapshot the log must still retain its very first record. A snapshot is not usable if records
 * after those that it covers have expired, since they would be skipped, or if its revision is lower
 * than this node's.
 */
int clog_on_log_end(struct clog *clog)
{
	int64_t first = clog->next;
	struct clog_verdict verdict;
	int64_t covers = CLOG_COVERS_NONE;

	if (clog->ready)
		return 0;
	if (clog->pending->len > 0)
		first = ((struct clog_record *)clog->pending->pdata[0])->offset;
	for (guint i = clog->pending->len; i-- > 0 && covers == CLOG_COVERS_NONE;) {
		const struct clog_record *record = clog->pending->pdata[i];
		int64_t to = json_integer_value(json_object_get(record->json, "covers"));

		if (clog_is_snapshot(record->json) && to + 1 >= first &&
		    clog_revision_of(record->json) >= clog->revision &&
		    clog_load_snapshot(clog, record->json) > 0)
			covers = to;
	}
	if (covers == CLOG_COVERS_NONE && first > 0)
		return CONF_EGAP;
	clog->ready = true;
	for (guint i = 0; i < clog->pending->len; i++) {
		const struct clog_record *record = clog->pending->pdata[i];

		if (record->offset > covers)
			clog_apply(clog, record->offset, record->json, &verdict);
	}
	g_ptr_array_set_size(clog->pending, 0);
	return 0;
}

/* Applies a record of any type; records of unknown types are ignored. */
static void clog_apply(struct clog *clog, int64_t offset, json_t *record,
		       struct clog_verdict *verdict)
{
	memset(verdict, 0, sizeof(*verdict));
	clog->next = MAX(clog->next, offset + 1);
	if (clog_is_snapshot(record))
		clog_on_snapshot(clog, record);
	else if (strcmp(clog_json_text(record, "type"), "change") == 0)
		clog_apply_change(clog, record, verdict);
}

/*
 * Records the position of the newest snapshot, and counts a divergence if its revision is higher
 * than this node's. The node's state stays as it is.
 */
static void clog_on_snapshot(struct clog *clog, json_t *record)
{
	int64_t covers = json_integer_value(json_object_get(record, "covers"));
	int64_t revision = clog_revision_of(record);

	if (covers <= clog->snapshot_covers)
		return;
	clog->snapshot_covers = covers;
	if (revision > clog->revision)
		clog->divergences++;
	clog->changes_since_snapshot = clog->revision - revision;
}

/*
 * Applies a change, or rejects it if its expected revision is not the current one or a statement is
 * invalid. A daemon repeats the append of a command when the response is lost, so a second record
 * of the same command is ignored.
 */
static void clog_apply_change(struct clog *clog, json_t *record, struct clog_verdict *verdict)
{
	json_t *expected = json_object_get(record, "expect");
	struct conf_state *next;
	struct str statements;

	if (clog_find(clog, clog_json_text(record, "id")))
		return;
	g_strlcpy(verdict->id, clog_json_text(record, "id"), sizeof(verdict->id));
	verdict->outcome = CLOG_REJECTED;
	verdict->revision = clog->revision;
	statements = str_make(json_string_value(json_object_get(record, "statements")),
			      json_string_length(json_object_get(record, "statements")));
	if (json_is_integer(expected) && json_integer_value(expected) != CLOG_ANY_REVISION &&
	    json_integer_value(expected) != clog->revision) {
		verdict->err = CONF_ECONFLICT;
		g_snprintf(verdict->problem.text, sizeof(verdict->problem.text),
			   "expected revision %" JSON_INTEGER_FORMAT ", but %" G_GINT64_FORMAT
			   " is in force",
			   json_integer_value(expected), clog->revision);
		clog_add_verdict(clog, verdict);
		return;
	}
	next = conf_apply(clog->state, statements, &verdict->problem, &verdict->err);
	if (next) {
		conf_state_unref(clog->state);
		clog->state = next;
		clog->revision++;
		clog->changes_since_snapshot++;
		verdict->outcome = CLOG_ACCEPTED;
		verdict->revision = clog->revision;
	}
	clog_add_verdict(clog, verdict);
}

/* Keeps a copy of the verdict and drops the oldest beyond CLOG_VERDICTS_MAX. */
static void clog_add_verdict(struct clog *clog, const struct clog_verdict *verdict)
{
	g_queue_push_tail(clog->recent, g_memdup2(verdict, sizeof(*verdict)));
	if (g_queue_get_length(clog->recent) > CLOG_VERDICTS_MAX)
		g_free(g_queue_pop_head(clog->recent));
}

const struct clog_verdict *clog_find(const struct clog *clog, const char *id)
{
	for (const GList *l = clog->recent->tail; l; l = l->prev) {
		const struct clog_verdict *verdict = l->data;

		if (strcmp(verdict->id, id) == 0)
			return verdict;
	}
	return NULL;
}

/* Replaces the recent verdicts by those of a snapshot. */
static void clog_load_verdicts(struct clog *clog, const json_t *list)
{
	size_t i;
	json_t *item;

	g_queue_clear_full(clog->recent, g_free);
	json_array_foreach(list, i, item)
	{
		struct clog_verdict verdict = {
			.outcome = json_is_true(json_object_get(item, "accepted")) ? CLOG_ACCEPTED
										   : CLOG_REJECTED,
			.revision = json_integer_value(json_object_get(item, "revision")),
			.err = (int)json_integer_value(json_object_get(item, "err")),
		};

		g_strlcpy(verdict.id, clog_json_text(item, "id"), sizeof(verdict.id));
		g_strlcpy(verdict.problem.text, clog_json_text(item, "reason"),
			  sizeof(verdict.problem.text));
		verdict.problem.line = (int)json_integer_value(json_object_get(item, "line"));
		clog_add_verdict(clog, &verdict);
	}
}

/*
 * Replaces the node's state by the snapshot's. Returns 1, or CONF_ERECORD if the snapshot's
 * statements are invalid.
 */
static int clog_load_snapshot(struct clog *clog, json_t *snapshot)
{
	int64_t revision = clog_revision_of(snapshot);
	int64_t covers = json_integer_value(json_object_get(snapshot, "covers"));
	struct conf_state *empty;
	struct conf_state *state;
	struct conf_problem problem;
	int err;

	empty = conf_state_new();
	state = conf_apply(empty, str_from_cstr(clog_json_text(snapshot, "state")), &problem, &err);
	conf_state_unref(empty);
	if (!state)
		return CONF_ERECORD;
	conf_state_unref(clog->state);
	clog->state = state;
	clog->revision = revision;
	clog->snapshot_covers = MAX(clog->snapshot_covers, covers);
	clog->changes_since_snapshot = 0;
	clog_load_verdicts(clog, json_object_get(snapshot, "recent"));
	return 1;
}

int clog_on_peer_state(struct clog *clog, struct str snapshot)
{
	json_t *json = json_loadb(snapshot.data, snapshot.len, 0, NULL);
	int64_t covers = json_integer_value(json_object_get(json, "covers"));
	int64_t revision = clog_revision_of(json);
	int loaded = 0;

	if (!json || !clog_is_snapshot(json)) {
		json_decref(json);
		return CONF_ERECORD;
	}
	if (revision > clog->revision || (!clog->ready && revision == clog->revision))
		loaded = clog_load_snapshot(clog, json);
	if (loaded > 0) {
		clog->ready = true;
		clog->next = MAX(covers + 1, 0);
		g_ptr_array_set_size(clog->pending, 0);
	}
	json_decref(json);
	return loaded;
}

char *clog_change_record(const char *id, int64_t expected_revision, const char *by,
			 struct str statements)
{
	json_t *json = json_pack("{s:s, s:s, s:I, s:s, s:s%}", "type", "change", "id", id, "expect",
				 (json_int_t)expected_revision, "by", by, "statements",
				 statements.data, statements.len);
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	return text;
}

char *clog_snapshot_record(const struct clog *clog)
{
	GString *state = g_string_new(NULL);
	json_t *recent = json_array();
	json_t *json;
	char *text;

	conf_export(clog->state, state);
	for (const GList *l = clog->recent->head; l; l = l->next) {
		const struct clog_verdict *v = l->data;

		json_array_append_new(recent,
				      json_pack("{s:s, s:b, s:I, s:i, s:i, s:s}", "id", v->id,
						"accepted", v->outcome == CLOG_ACCEPTED, "revision",
						(json_int_t)v->revision, "err", v->err, "line",
						v->problem.line, "reason", v->problem.text));
	}
	json = json_pack("{s:s, s:I, s:I, s:s%, s:o}", "type", "snapshot", "revision",
			 (json_int_t)clog->revision, "covers", (json_int_t)(clog->next - 1),
			 "state", state->str, state->len, "recent", recent);
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	g_string_free(state, TRUE);
	return text;
}
