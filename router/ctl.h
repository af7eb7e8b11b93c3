#ifndef ROUTER_CTL_H
#define ROUTER_CTL_H

#include "router/router.h"

/* One topic of the store as it is followed. */
struct sf_topic {
	struct ctl *ctl;
	enum seam_topic topic;
	int64_t next;	     /* offset to read from; -1: the whole listing is read next */
	int64_t wait_ms;     /* that the store may hold a read until a record comes; 0: none */
	int64_t pause_us;    /* between two reads */
	struct hc_call *call;
	struct tmr timer;
	char *after;	     /* key after which a listing goes on */
	int failures;	     /* in a row */
	int64_t read_us;     /* when it was last read with success; 0: never */
};

struct ctl {
	struct router *router;
	struct loop *loop;
	struct hc *hc;
	struct rt_conf *conf;
	struct ep_list endpoints;
	GHashTable *hosts; /* name -> address of the control thread */
	struct sf_topic topics[SEAM_HOSTS + 1];
	struct tmr ticker;
	int64_t generation; /* of the group of hosts; orders carry it as fencing number */
	bool leader;	    /* this host places layers */
	int64_t joined_us;  /* when the last successful join was begun, on the clock that counts sleep */
	struct hc_call *join;
	struct tmr join_timer;
	struct placer *placer;
	struct peers *peers;
	bool view_due;
	bool view_whole; /* a view with configuration and endpoints has been posted */
	bool stopping;
};

/* store_follow.c */
void sf_start(struct ctl *ctl);
void sf_stop(struct ctl *ctl);

/* Whether the store has not answered reads of the configuration lately. */
bool sf_is_away(const struct ctl *ctl);

/* Takes a configuration or endpoint record, from the store or from another host. */
void sf_take_conf(struct ctl *ctl, struct str text, const char *from);

/* ctl.c */
char *ctl_url(const struct ctl *ctl, char *path);
void ctl_view_due(struct ctl *ctl);

/* Posts the view at once if it is the first one that requests can be served by. */
void ctl_first_view(struct ctl *ctl);

/* Time since boot that goes on while the machine is suspended, in microseconds. */
int64_t ctl_boot_us(void);

/* Whether this host may give orders now. */
bool ctl_may_order(const struct ctl *ctl);

/* placer.c */
struct placer *placer_new(struct ctl *ctl);
void placer_free(struct placer *placer);
void placer_on_tick(struct placer *placer, int64_t now_us);

/* peers.c */
struct peers *peers_new(struct ctl *ctl);
void peers_free(struct peers *peers);
void peers_on_tick(struct peers *peers, int64_t now_us);

#endif
