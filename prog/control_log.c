#include "base/err.h"
#include "base/log.h"
#include "base/met.h"
#include "prog/control.h"

#include <stdlib.h>
#include <string.h>

/*
 * Follows the configuration's stream in the platform's log, appends operators' commands, answers
 * each command only after its record was read back, and appends snapshots.
 */
enum {
	/* Time for which a read waits at the platform for a new record, in milliseconds. */
	CONTROL_READ_WAIT_MS = 5000,

	/* Delay before a failed call, or the check of a command, is repeated, in microseconds. */
	CONTROL_RETRY_US = 200000,

	/* Time after which a command without a result is answered with 504, in microseconds. */
	CONTROL_COMMAND_TIMEOUT_US = 8 * USEC_PER_SEC
};

static void control_log_follow(void *ctx, int64_t now_us);
static void control_on_config_read(void *ctx, int status, int err, bool sent, const char *body,
				   size_t len);
static void control_command_append(struct control_command *cmd);
static void control_on_command_appended(void *ctx, int status, int err, bool sent, const char *body,
					size_t len);
static void control_on_command_retry(void *ctx, int64_t now_us);
static void control_command_check_log(struct control_command *cmd);
static void control_on_command_checked(void *ctx, int status, int err, bool sent, const char *body,
				       size_t len);
static void control_command_reply(struct control_command *cmd, const struct clog_verdict *verdict);
static void control_command_free(struct control_command *cmd);

static const struct hc_ops control_config_read_ops = {.on_done = control_on_config_read};
static const struct hc_ops control_command_append_ops = {.on_done = control_on_command_appended};
static const struct hc_ops control_command_check_ops = {.on_done = control_on_command_checked};

void control_log_append(struct control *c, const char *stream, const char *record,
			const struct hc_ops *ops, void *ctx)
{
	char *url = g_strdup_printf("http://%s/log/%s", c->settings.platform, stream);
	struct hc_request request = {
		.method = "POST",
		.url = url,
		.body = record,
		.body_len = strlen(record),
		.connect_ms = CONTROL_CONNECT_MS,
		.total_ms = c->settings.append_ms,
	};

	met_add(met_counter("bg_log_appends_total", ""), 1);
	hc_start(c->hc, &request, ops, ctx);
	g_free(url);
}

void control_log_read(struct control *c, const char *stream, int64_t from, int64_t wait_ms,
		      const struct hc_ops *ops, void *ctx)
{
	char *url = g_strdup_printf("http://%s/log/%s?from=%" G_GINT64_FORMAT
				    "&wait_ms=%" G_GINT64_FORMAT,
				    c->settings.platform, stream, from, wait_ms);
	struct hc_request request = {
		.method = "GET",
		.url = url,
		.connect_ms = CONTROL_CONNECT_MS,
		.total_ms = c->settings.append_ms + wait_ms,
	};

	hc_start(c->hc, &request, ops, ctx);
	g_free(url);
}

void control_log_start(struct control *c)
{
	control_log_follow(c, tmr_now());
}

/*
 * Reads the next records. Until this daemon is ready, the read must not wait for new records,
 * because it has to find the end of the log.
 */
static void control_log_follow(void *ctx, int64_t now_us)
{
	struct control *c = ctx;

	(void)now_us;
	control_log_read(c, "config", c->clog.next, c->clog.ready ? CONTROL_READ_WAIT_MS : 0,
			 &control_config_read_ops, c);
}

static void control_reply_to_commands(struct control *c, const struct clog_verdict *verdict)
{
	for (guint i = c->commands->len; i-- > 0;) {
		struct control_command *cmd = c->commands->pdata[i];

		if (strcmp(cmd->id, verdict->id) == 0)
			control_command_reply(cmd, verdict);
	}
}

static void control_apply_record(struct control *c, const json_t *record)
{
	json_t *data = json_object_get(record, "data");
	struct clog_verdict verdict;
	int err = clog_on_record(&c->clog, json_integer_value(json_object_get(record, "offset")),
				 str_make(json_string_value(data), json_string_length(data)),
				 &verdict);

	if (err < 0) {
		met_add(met_counter("bg_config_records_refused_total", ""), 1);
		log_msg(LOG_WARNING, "config_record_refused reason=\"%s\"", conf_strerror(err));
	}
	if (verdict.outcome == CLOG_NO_VERDICT)
		return;
	log_msg(LOG_INFO, "config_change id=%s outcome=%s revision=%" G_GINT64_FORMAT, verdict.id,
		verdict.outcome == CLOG_ACCEPTED ? "accepted" : "rejected", verdict.revision);
	control_reply_to_commands(c, &verdict);
}

/*
 * Answers commands whose records were read before this daemon was ready: no verdict was known at
 * that time.
 */
static void control_reply_to_decided_commands(struct control *c)
{
	for (guint i = c->commands->len; i-- > 0;) {
		struct control_command *cmd = c->commands->pdata[i];
		const struct clog_verdict *verdict = clog_find(&c->clog, cmd->id);

		if (verdict)
			control_command_reply(cmd, verdict);
	}
}

static void control_apply_read(struct control *c, const json_t *json)
{
	json_t *records = json_object_get(json, "records");
	int64_t end = json_integer_value(json_object_get(json, "end"));
	int64_t revision = c->clog.revision;
	int64_t snapshot = c->clog.snapshot_covers;
	bool ready = c->clog.ready;
	size_t i;
	json_t *record;

	if (clog_on_oldest_offset(&c->clog, json_integer_value(json_object_get(json, "first"))) < 0)
		log_msg(LOG_WARNING, "config_gap next=%" G_GINT64_FORMAT, c->clog.next);
	json_array_foreach(records, i, record)
	{
		control_apply_record(c, record);
	}
	if (c->clog.next >= end && clog_on_log_end(&c->clog) < 0)
		log_msg(LOG_WARNING, "config_without_snapshot next=%" G_GINT64_FORMAT,
			c->clog.next);
	if (c->clog.snapshot_covers != snapshot)
		snap_on_read(&c->snap, tmr_now());
	if (c->clog.revision != revision || c->clog.ready != ready) {
		control_conf_changed(c);
		control_reply_to_decided_commands(c);
	}
}

static void control_on_config_read(void *ctx, int status, int err, bool sent, const char *body,
				   size_t len)
{
	struct control *c = ctx;
	json_t *json = status == 200 ? json_loadb(body, len, 0, NULL) : NULL;

	(void)sent;
	if (!json) {
		if (c->log_ok)
			log_msg(LOG_WARNING, "log_out status=%d reason=\"%s\"", status,
				base_strerror(err));
		c->log_ok = false;
		met_add(met_counter("bg_log_read_failures_total", ""), 1);
		loop_start_timer(&c->loop, &c->follow_timer, CONTROL_RETRY_US, control_log_follow,
				 c);
		return;
	}
	if (!c->log_ok)
		log_msg(LOG_NOTICE, "log_ok next=%" G_GINT64_FORMAT, c->clog.next);
	c->log_ok = true;
	c->log_ok_us = tmr_now();
	control_apply_read(c, json);
	json_decref(json);
	if (c->clog.ready)
		control_log_follow(c, tmr_now());
	else
		loop_start_timer(&c->loop, &c->follow_timer, CONTROL_RETRY_US, control_log_follow,
				 c);
}

void control_conf_changed(struct control *c)
{
	met_add(met_counter("bg_config_changes_total", ""), 1);
	control_hosts_on_conf(c);
	control_pools_on_conf(c);
	control_push_updates_to_all(c);
}

void control_command_start(struct control *c, struct hd_call *call, const char *id, const char *by,
			   int64_t expected, struct str statements)
{
	struct control_command *cmd = g_new0(struct control_command, 1);

	cmd->c = c;
	cmd->call = call;
	cmd->id = g_strdup(id);
	cmd->record = clog_change_record(id, expected, by, statements);
	cmd->deadline_us = tmr_now() + CONTROL_COMMAND_TIMEOUT_US;
	g_ptr_array_add(c->commands, cmd);
	control_command_append(cmd);
}

static void control_command_append(struct control_command *cmd)
{
	cmd->platform_call_pending = true;
	control_log_append(cmd->c, "config", cmd->record, &control_command_append_ops, cmd);
}

/*
 * A command takes effect only with a record that is read back. An append that was refused is
 * reported to the operator immediately. If the answer to an append was lost, the log is read first
 * and the record is appended again only if it is not there.
 */
static void control_on_command_appended(void *ctx, int status, int err, bool sent, const char *body,
					size_t len)
{
	struct control_command *cmd = ctx;
	struct control *c = cmd->c;
	bool refused = (status >= 400 && status < 600) || (err < 0 && !sent);

	(void)body;
	(void)len;
	cmd->platform_call_pending = false;
	if (!cmd->call) {
		control_command_free(cmd);
		return;
	}
	if (status != 200 && !refused)
		cmd->append_uncertain = true;
	if (refused && !cmd->append_uncertain) {
		hd_set_header(cmd->call, "Retry-After", "2");
		prog_reply_json(
			cmd->call, 503,
			json_pack("{s:s, s:s}", "outcome", "not_accepted", "reason",
				  "the platform's log is unavailable; nothing was changed"));
		cmd->call = NULL;
		control_command_free(cmd);
		return;
	}
	loop_start_timer(&c->loop, &cmd->retry_timer, CONTROL_RETRY_US, control_on_command_retry,
			 cmd);
}

static void control_on_command_retry(void *ctx, int64_t now_us)
{
	struct control_command *cmd = ctx;
	struct control *c = cmd->c;

	if (now_us > cmd->deadline_us) {
		prog_reply_json(
			cmd->call, 504,
			json_pack("{s:s, s:s, s:s}", "outcome", "unknown", "id", cmd->id, "reason",
				  "the change was not read back from the log in time; retry "
				  "with the same id"));
		cmd->call = NULL;
		control_command_free(cmd);
		return;
	}
	if (cmd->append_uncertain)
		control_command_check_log(cmd);
	else
		loop_start_timer(&c->loop, &cmd->retry_timer, CONTROL_RETRY_US,
				 control_on_command_retry, cmd);
}

/* Reads the log to its end to find out whether an append without an answer took effect. */
static void control_command_check_log(struct control_command *cmd)
{
	cmd->platform_call_pending = true;
	control_log_read(cmd->c, "config", cmd->c->clog.next, 0, &control_command_check_ops, cmd);
}

static void control_on_command_checked(void *ctx, int status, int err, bool sent, const char *body,
				       size_t len)
{
	struct control_command *cmd = ctx;
	json_t *json = status == 200 ? json_loadb(body, len, 0, NULL) : NULL;

	(void)err;
	(void)sent;
	if (json)
		control_apply_read(cmd->c, json);
	cmd->platform_call_pending = false;
	if (!cmd->call)
		control_command_free(cmd);
	else if (json)
		control_command_append(cmd);
	else
		loop_start_timer(&cmd->c->loop, &cmd->retry_timer, CONTROL_RETRY_US,
				 control_on_command_retry, cmd);
	json_decref(json);
}

/* Frees a command; if a call to the platform is in progress, the callback of that call frees it. */
static void control_command_free(struct control_command *cmd)
{
	tmr_cancel(&cmd->c->loop.tmr, &cmd->retry_timer);
	g_ptr_array_remove_fast(cmd->c->commands, cmd);
	if (cmd->platform_call_pending)
		return;
	g_free(cmd->id);
	g_free(cmd->record);
	g_free(cmd);
}

static void control_command_reply(struct control_command *cmd, const struct clog_verdict *verdict)
{
	bool accepted = verdict->outcome == CLOG_ACCEPTED;
	/* The text may end within a character of the statement that it cites. */
	char *reason = g_utf8_make_valid(verdict->problem.text, -1);

	prog_reply_json(cmd->call, accepted ? 200 : 409,
			json_pack("{s:s, s:s, s:I, s:i, s:i, s:s}", "outcome",
				  accepted ? "accepted" : "rejected", "id", verdict->id, "revision",
				  (json_int_t)verdict->revision, "line", verdict->problem.line,
				  "column", verdict->problem.column, "reason", reason));
	g_free(reason);
	cmd->call = NULL;
	control_command_free(cmd);
}

static void control_on_snapshot(void *ctx, int status, int err, bool sent, const char *body,
				size_t len)
{
	struct control *c = ctx;

	(void)sent;
	(void)body;
	(void)len;
	snap_on_appended(&c->snap, status == 200, tmr_now());
	if (status == 200)
		log_msg(LOG_INFO, "snapshot_written status=%d revision=%" G_GINT64_FORMAT, status,
			c->clog.revision);
	else
		log_msg(LOG_WARNING, "snapshot_failed status=%d reason=\"%s\"", status,
			base_strerror(err));
}

static const struct hc_ops control_snapshot_ops = {.on_done = control_on_snapshot};

static void control_write_snapshot(struct control *c)
{
	char *record = clog_snapshot_record(&c->clog);

	snap_on_append(&c->snap);
	control_log_append(c, "config", record, &control_snapshot_ops, c);
	free(record);
}

/* Returns how many hosts precede this one in the order of writers of the next snapshot. */
static unsigned int control_snapshot_rank(const struct control *c, int64_t now_us)
{
	unsigned int rank;

	for (rank = 0; rank < c->hosts.hosts->len; rank++) {
		const struct host *host = host_home(&c->hosts, "snapshot", rank, now_us);

		if (!host || strcmp(host->name, c->settings.name) == 0)
			break;
	}
	return rank;
}

/* Appends a snapshot when one is due. */
void control_log_tick(struct control *c, int64_t now_us)
{
	/* The rank takes a search over all hosts, so it is computed only when needed. */
	if (!c->clog.ready || !c->log_ok || c->clog.next == 0 || !snap_is_due(&c->snap, 0, now_us))
		return;
	if (snap_is_due(&c->snap, control_snapshot_rank(c, now_us), now_us))
		control_write_snapshot(c);
}
