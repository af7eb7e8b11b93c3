#include "router/tunnel.h"
#include "base/err.h"
#include "base/frm.h"
#include "msg/kind.h"
#include "msg/tunnel.pb-c.h"

struct tunnel_dial {
	struct loop *loop;
	struct frm_conn *conn; /* connection to the gateway; NULL once it has ended */
	struct tmr timer;      /* end of the time for the answer */
	tunnel_fn fn;
	void *ctx;
};

static int tunnel_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			 size_t len);
static void tunnel_on_close(void *ctx, struct frm_conn *conn, int err);

static const struct frm_ops tunnel_ops = {tunnel_on_msg, tunnel_on_close};

/* What the results of the message mean. */
static const enum gws_result tunnel_results[] = {
	[TUNNEL__RESULT__UNSPECIFIED] = GWS_NO_SUCH_FRAME,
	[TUNNEL__RESULT__OPENED] = GWS_OPENED,
	[TUNNEL__RESULT__REFUSED] = GWS_NOT_REACHED,
	[TUNNEL__RESULT__TIMEOUT] = GWS_NOT_REACHED,
	[TUNNEL__RESULT__UNKNOWN] = GWS_NOT_LISTED,
	[TUNNEL__RESULT__BUSY] = GWS_BUSY,
	[TUNNEL__RESULT__STOPPING] = GWS_BUSY,
	[TUNNEL__RESULT__CUT_OFF] = GWS_CUT_OFF,
};

static void tunnel_finish(struct tunnel_dial *dial, const struct tunnel_answer *answer)
{
	tunnel_fn fn = dial->fn;
	void *ctx = dial->ctx;

	tunnel_cancel(dial);
	fn(ctx, answer);
}

static void tunnel_fail(struct tunnel_dial *dial, enum gws_result result)
{
	const struct tunnel_answer answer = {.result = result};

	tunnel_finish(dial, &answer);
}

static void tunnel_on_timeout(void *ctx, int64_t now_us)
{
	(void)now_us;
	tunnel_fail(ctx, GWS_NO_ANSWER);
}

struct tunnel_dial *tunnel_dial(struct loop *loop, const struct tunnel_ask *ask, tunnel_fn fn,
				void *ctx)
{
	const struct frm_limits limits = {tmr_from_s(60), tmr_from_s(60), tmr_from_s(60)};
	struct tunnel_dial *dial = g_new0(struct tunnel_dial, 1);
	Tunnel__Open msg = TUNNEL__OPEN__INIT;

	dial->loop = loop;
	dial->fn = fn;
	dial->ctx = ctx;
	dial->conn = frm_connect(loop, ask->gateway, &tunnel_ops, &limits, dial);
	if (!dial->conn) {
		g_free(dial);
		return NULL;
	}
	msg.addr = (char *)ask->addr;
	msg.connect_ms = ask->connect_ms;
	msg.request = (char *)(ask->request ? ask->request : "");
	msg.host = (char *)ask->host;
	frm_send(dial->conn, MSG_TUNNEL_OPEN, &msg.base);
	loop_start_timer(loop, &dial->timer, tmr_from_ms(ask->answer_ms), tunnel_on_timeout, dial);
	return dial;
}

GByteArray *tunnel_preamble(uint64_t token)
{
	Tunnel__Attach msg = TUNNEL__ATTACH__INIT;

	msg.token = token;
	return frm_pack(MSG_TUNNEL_ATTACH, &msg.base);
}

void tunnel_cancel(struct tunnel_dial *dial)
{
	tmr_cancel(&dial->loop->tmr, &dial->timer);
	if (dial->conn)
		frm_close(dial->conn);
	g_free(dial);
}

static enum gws_result tunnel_result(const Tunnel__Opened *opened)
{
	int i = (int)opened->result;

	return i >= 0 && i < (int)G_N_ELEMENTS(tunnel_results) ? tunnel_results[i]
							       : GWS_NO_SUCH_FRAME;
}

static int tunnel_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			 size_t len)
{
	struct tunnel_dial *dial = ctx;
	Tunnel__Opened *opened =
		kind == MSG_TUNNEL_OPENED ? tunnel__opened__unpack(NULL, len, body) : NULL;
	struct tunnel_answer answer = {.result = GWS_NO_ANSWER};

	(void)conn;
	if (!opened)
		return BASE_EFRAME;
	answer.result = tunnel_result(opened);
	answer.open = opened->open;
	answer.token = opened->token;
	answer.refused = opened->result == TUNNEL__RESULT__REFUSED;
	tunnel__opened__free_unpacked(opened, NULL);
	tunnel_finish(dial, &answer);
	return 0;
}

/*
 * A host of an older version closes a connection on which it receives a frame of an unknown kind.
 * The connection had been made then.
 */
static void tunnel_on_close(void *ctx, struct frm_conn *conn, int err)
{
	struct tunnel_dial *dial = ctx;

	(void)conn;
	dial->conn = NULL;
	tunnel_fail(dial, err == BASE_ECLOSED ? GWS_NO_SUCH_FRAME : GWS_NO_ANSWER);
}
