#include "base/err.h"
#include "msg/feed.pb-c.h"
#include "msg/kind.h"
#include "router/rc.h"

/* The message by which hosts tell each other of endpoints at fault; feeds carry it both ways. */
int suspect_on_msg(struct rc *rc, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	Feed__Suspect *msg = feed__suspect__unpack(NULL, len, body);
	struct rc_suspect suspect;

	if (!msg)
		return BASE_EFRAME;
	suspect = (struct rc_suspect){msg->endpoint, msg->for_ms, msg->why, msg->hops};
	rc_on_suspect(rc, &suspect, conn);
	feed__suspect__free_unpacked(msg, NULL);
	return 0;
}

void suspect_send(struct frm_conn *conn, const struct rc_suspect *suspect)
{
	Feed__Suspect msg = FEED__SUSPECT__INIT;

	msg.endpoint = (char *)suspect->endpoint;
	msg.for_ms = suspect->for_ms;
	msg.why = (char *)suspect->why;
	msg.hops = suspect->hops;
	frm_send(conn, MSG_FEED_SUSPECT, &msg.base);
}
