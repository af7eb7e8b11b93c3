#ifndef MSG_KIND_H
#define MSG_KIND_H

/*
 * Kind of a frame, as sent in its header. Each kind is named after the protobuf message that the
 * frame holds: MSG_POOL_ASK is the message Ask of pool.proto. The values are part of the protocol.
 */
enum msg_kind {
	MSG_HEARTBEAT, /* empty frame that keeps a connection alive */

	/* Messages of pool.proto. */
	MSG_POOL_ASK,
	MSG_POOL_WITHDRAW,
	MSG_POOL_GRANT,
	MSG_POOL_REFUSE,
	MSG_POOL_DONE,
	MSG_POOL_HOLDING,
	MSG_POOL_HELD,

	/* Messages of once.proto. */
	MSG_ONCE_CLAIM,
	MSG_ONCE_VERDICT,
	MSG_ONCE_RELEASE,

	/* Messages of join.proto. */
	MSG_JOIN_ASK,
	MSG_JOIN_ANSWER,

	/* Messages of conf.proto. */
	MSG_CONF_REVISION,
	MSG_CONF_FETCH,
	MSG_CONF_STATE,
	MSG_CONF_IN_FORCE,
	MSG_CONF_HOSTS,

	/* Messages of feed.proto. */
	MSG_FEED_ASK,
	MSG_FEED_UPDATE,
	MSG_FEED_SUSPECT,
	MSG_FEED_QUARANTINE, /* message Quarantines */
	MSG_FEED_LIMITS,
	MSG_LIMIT_ASK,	 /* message LimitAsk */
	MSG_LIMIT_GRANT, /* message LimitGrant */
	MSG_FEED_HOST,

	/* Messages of tunnel.proto. */
	MSG_TUNNEL_OPEN,
	MSG_TUNNEL_OPENED,
	MSG_TUNNEL_ATTACH,

	MSG_KIND_COUNT /* number of kinds */
};

#endif
