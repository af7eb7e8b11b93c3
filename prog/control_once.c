#include "base/err.h"
#include "base/log.h"
#include "base/met.h"
#include "msg/kind.h"
#include "msg/once.pb-c.h"
#include "prog/control.h"

#include <string.h>

/* Partitions of claims that this daemon is home of: each a stream of the platform's log. */
enum {
	CONTROL_OUT_US = 500000
};

static void control_part_append(void *ctx, const char *record);
static void control_part_read(void *ctx, int64_t from);
static void control_part_answer(void *ctx, struct once_requester asker, enum once_verdict verdict,
				const struct once_claim *winner);
static void control_on_part_appended(void *ctx, int status, int err, bool sent, const char *body,
				     size_t len);
static void control_on_part_read(void *ctx, int status, int err, bool sent, const char *body,
				 size_t len);

static const struct hc_ops control_part_append_ops = {.on_done = control_on_part_appended};
static const struct hc_ops control_part_read_ops = {.on_done = control_on_part_read};
static const struct once_ops control_once_ops = {control_part_append, control_part_read,
						 control_part_answer};

static struct control_part *control_part(struct control *c, const char *key)
{
	unsigned int number = once_partition(key, (unsigned int)c->settings.claim_partitions);
	struct control_part *part = g_hash_table_lookup(c->parts, GUINT_TO_POINTER(number));
	struct once_settings settings = {CONTROL_OUT_US, c->settings.claim_life_s * USEC_PER_SEC};

	if (part)
		return part;
	part = g_new0(struct control_part, 1);
	part->c = c;
	part->stream = g_strdup_printf("claims-%u", number);
	once_init(&part->once, &settings, &control_once_ops, part);
	g_hash_table_insert(c->parts, GUINT_TO_POINTER(number), part);
	log_msg(LOG_INFO, "claims_home partition=%u", number);
	return part;
}

static void control_part_append(void *ctx, const char *record)
{
	struct control_part *part = ctx;

	control_append(part->c, part->stream, record, &control_part_append_ops, part);
}

static void control_on_part_appended(void *ctx, int status, int err, bool sent, const char *body,
				     size_t len)
{
	struct control_part *part = ctx;

	(void)sent;
	(void)body;
	(void)len;
	if (status != 200)
		log_msg(LOG_WARNING, "claim_append_failed stream=%s status=%d reason=\"%s\"",
			part->stream, status, base_strerror(err));
	once_on_appended(&part->once, status == 200);
}

static void control_part_read(void *ctx, int64_t from)
{
	struct control_part *part = ctx;

	control_read(part->c, part->stream, from, 0, &control_part_read_ops, part);
}

/* A read may hold only a part of the records; the decision is told when the end is reached. */
static void control_on_part_read(void *ctx, int status, int err, bool sent, const char *body,
				 size_t len)
{
	struct control_part *part = ctx;
	json_t *json = status == 200 ? json_loadb(body, len, 0, NULL) : NULL;
	json_t *records = json_object_get(json, "records");
	int64_t end = json_integer_value(json_object_get(json, "end"));
	int64_t now = tmr_now();
	size_t i;
	json_t *record;

	(void)sent;
	if (!json)
		log_msg(LOG_WARNING, "claim_read_failed stream=%s status=%d reason=\"%s\"",
			part->stream, status, base_strerror(err));
	json_array_foreach(records, i, record)
	{
		json_t *data = json_object_get(record, "data");

		if (once_on_record(
			    &part->once, json_integer_value(json_object_get(record, "offset")),
			    str_make(json_string_value(data), json_string_length(data)), now) < 0)
			met_add(met_counter("bg_claim_records_refused_total", ""), 1);
	}
	if (json && json_array_size(records) > 0 && part->once.next < end)
		control_part_read(part, part->once.next);
	else
		once_on_read(&part->once, json != NULL, end, now);
	json_decref(json);
}

static void control_part_answer(void *ctx, struct once_requester asker, enum once_verdict verdict,
				const struct once_claim *winner)
{
	struct control_part *part = ctx;
	struct control_conn *conn = g_hash_table_lookup(part->c->conns, &asker.conn);
	Once__Verdict msg = ONCE__VERDICT__INIT;
	Once__Claim claim = ONCE__CLAIM__INIT;
	char *labels = g_strdup_printf("verdict=\"%s\"", once_verdict_name(verdict));

	met_add(met_counter("bg_claims_total", labels), 1);
	g_free(labels);
	msg.ask_id = asker.ask_id;
	msg.verdict = (uint32_t)verdict;
	if (winner) {
		claim.key = winner->key;
		claim.id = winner->id;
		claim.request = winner->request;
		claim.entry = winner->entry;
		claim.endpoints = winner->endpoints;
		claim.digest = winner->digest;
		msg.winner = &claim;
	}
	if (conn)
		frm_send(conn->conn, MSG_ONCE_VERDICT, &msg.base);
}

void control_once_tick(struct control *c, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		once_on_tick(&((struct control_part *)value)->once, now_us);
}

void control_once_conn_gone(struct control *c, uint64_t conn)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		once_on_conn_closed(&((struct control_part *)value)->once, conn);
}

int control_on_claim(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	Once__Claim *msg = once__claim__unpack(NULL, len, body);
	struct control_conn *own = frm_data(conn);
	struct once_claim claim;
	struct once_requester asker;

	if (!msg)
		return BASE_EFRAME;
	claim = (struct once_claim){
		.key = msg->key,
		.id = msg->id,
		.request = msg->request,
		.entry = msg->entry,
		.endpoints = msg->endpoints,
		.digest = msg->digest,
		.supersedes = msg->supersedes,
	};
	asker = (struct once_requester){own->id, msg->ask_id};
	once_on_claim(&control_part(c, msg->key)->once, asker, &claim, tmr_now());
	once__claim__free_unpacked(msg, NULL);
	return 0;
}

int control_on_release(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	Once__Release *msg = once__release__unpack(NULL, len, body);

	(void)conn;
	if (!msg)
		return BASE_EFRAME;
	once_on_release(&control_part(c, msg->key)->once, msg->key, msg->id, tmr_now());
	once__release__free_unpacked(msg, NULL);
	return 0;
}
