#include "base/err.h"
#include "base/log.h"
#include "base/met.h"
#include "msg/kind.h"
#include "msg/once.pb-c.h"
#include "prog/control.h"

#include <string.h>

/* Partitions of claims of which this daemon is the home; each is a stream of the platform's log. */
enum {
	/* Time for which the log counts as unavailable after a failed call, in microseconds. */
	CONTROL_LOG_UNAVAILABLE_US = 500000
};

static void control_partition_append(void *ctx, const char *record);
static void control_partition_read(void *ctx, int64_t from);
static void control_partition_reply(void *ctx, struct once_requester asker,
				    enum once_verdict verdict, const struct once_claim *winner);
static void control_on_partition_appended(void *ctx, int status, int err, bool sent,
					  const char *body, size_t len);
static void control_on_partition_read(void *ctx, int status, int err, bool sent, const char *body,
				      size_t len);

static const struct hc_ops control_partition_append_ops = {.on_done =
								   control_on_partition_appended};
static const struct hc_ops control_partition_read_ops = {.on_done = control_on_partition_read};
static const struct once_ops control_once_ops = {control_partition_append, control_partition_read,
						 control_partition_reply};

/* Returns the partition of a key; creates it at first use. */
static struct control_claim_partition *control_partition_get(struct control *c, const char *key)
{
	unsigned int number = once_partition(key, (unsigned int)c->settings.claim_partitions);
	struct control_claim_partition *partition =
		g_hash_table_lookup(c->claim_partitions, GUINT_TO_POINTER(number));
	struct once_settings settings = {CONTROL_LOG_UNAVAILABLE_US,
					 c->settings.claim_life_s * USEC_PER_SEC};

	if (partition)
		return partition;
	partition = g_new0(struct control_claim_partition, 1);
	partition->c = c;
	partition->stream = g_strdup_printf("claims-%u", number);
	once_init(&partition->once, &settings, &control_once_ops, partition);
	g_hash_table_insert(c->claim_partitions, GUINT_TO_POINTER(number), partition);
	log_msg(LOG_INFO, "claims_home partition=%u", number);
	return partition;
}

static void control_partition_append(void *ctx, const char *record)
{
	struct control_claim_partition *partition = ctx;

	control_log_append(partition->c, partition->stream, record, &control_partition_append_ops,
			   partition);
}

static void control_on_partition_appended(void *ctx, int status, int err, bool sent,
					  const char *body, size_t len)
{
	struct control_claim_partition *partition = ctx;

	(void)sent;
	(void)body;
	(void)len;
	if (status != 200)
		log_msg(LOG_WARNING, "claim_append_failed stream=%s status=%d reason=\"%s\"",
			partition->stream, status, base_strerror(err));
	once_on_appended(&partition->once, status == 200);
}

static void control_partition_read(void *ctx, int64_t from)
{
	struct control_claim_partition *partition = ctx;

	control_log_read(partition->c, partition->stream, from, 0, &control_partition_read_ops,
			 partition);
}

/*
 * A read may return only some of the records. Reading continues until the end of the stream, where
 * the claims are decided.
 */
static void control_on_partition_read(void *ctx, int status, int err, bool sent, const char *body,
				      size_t len)
{
	struct control_claim_partition *partition = ctx;
	json_t *json = status == 200 ? json_loadb(body, len, 0, NULL) : NULL;
	json_t *records = json_object_get(json, "records");
	int64_t end = json_integer_value(json_object_get(json, "end"));
	int64_t now = tmr_now();
	size_t i;
	json_t *record;

	(void)sent;
	if (!json)
		log_msg(LOG_WARNING, "claim_read_failed stream=%s status=%d reason=\"%s\"",
			partition->stream, status, base_strerror(err));
	json_array_foreach(records, i, record)
	{
		json_t *data = json_object_get(record, "data");

		if (once_on_record(
			    &partition->once, json_integer_value(json_object_get(record, "offset")),
			    str_make(json_string_value(data), json_string_length(data)), now) < 0)
			met_add(met_counter("bg_claim_records_refused_total", ""), 1);
	}
	if (json && json_array_size(records) > 0 && partition->once.next < end)
		control_partition_read(partition, partition->once.next);
	else
		once_on_read(&partition->once, json != NULL, end, now);
	json_decref(json);
}

static void control_partition_reply(void *ctx, struct once_requester asker,
				    enum once_verdict verdict, const struct once_claim *winner)
{
	struct control_claim_partition *partition = ctx;
	struct control_conn *conn = g_hash_table_lookup(partition->c->conns, &asker.conn);
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

	g_hash_table_iter_init(&iter, c->claim_partitions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		once_on_tick(&((struct control_claim_partition *)value)->once, now_us);
}

void control_once_conn_closed(struct control *c, uint64_t conn)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->claim_partitions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		once_on_conn_closed(&((struct control_claim_partition *)value)->once, conn);
}

int control_on_claim(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	Once__Claim *msg = once__claim__unpack(NULL, len, body);
	struct control_conn *peer = frm_user_data(conn);
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
	asker = (struct once_requester){peer->id, msg->ask_id};
	once_on_claim(&control_partition_get(c, msg->key)->once, asker, &claim, tmr_now());
	once__claim__free_unpacked(msg, NULL);
	return 0;
}

int control_on_release(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	Once__Release *msg = once__release__unpack(NULL, len, body);

	(void)conn;
	if (!msg)
		return BASE_EFRAME;
	once_on_release(&control_partition_get(c, msg->key)->once, msg->key, msg->id, tmr_now());
	once__release__free_unpacked(msg, NULL);
	return 0;
}
