/*
 * Bootstrap of the control group from seeds, and replacement of a member that lost its disk.
 *
 * Three hosts are seeds, a fourth is not. The hosts start for the first time in any order, with
 * an empty disk and the instruction to bootstrap: a seed then takes the list of seeds as the
 * first member list, any other host takes none. A host that loses its disk later restarts
 * without the instruction to bootstrap and joins the group: the leader removes it from the
 * voters if it is one, replicates to it what it lacks, and makes it a voter. Messages are lost
 * and hosts become unreachable at any time ("reached" means running and connected). One entry
 * is written and acknowledged.
 *
 * Proved: every leader elected after the entry was acknowledged has the entry. Therefore no
 * second group is ever founded beside or after the first, and a host that lost its disk never
 * counts as still holding what was on it.
 *
 * Left out: the log beyond one entry, leases and messages that arrive late (quorum.pml models
 * these), more than one lost disk at a time (the stated tolerance of five control hosts is one),
 * an instruction to bootstrap that is given twice.
 *
 * mutant: FOUNDS_AGAIN       a seed with an empty disk bootstraps at every start
 * mutant: FOUNDS_ALONE       a seed bootstraps with itself as the only member while it reaches no other seed
 * mutant: VOTES_EMPTY        a member that lost its disk votes before it has caught up
 * mutant: TWO_AT_ONCE        the leader replaces two voters in one step, with a quorum of the new list only
 */

#define HOSTS 4
#define NONE  9
#define TERMS 3   /* elections */
#define LISTS 4   /* member lists */
#define SEEDS 7   /* hosts 0, 1 and 2 as bits */

#define member(list, h) ((list >> h) & 1)
#define count(list) (member(list, 0) + member(list, 1) + member(list, 2) + member(list, 3))

/* The content of each host's disk. An empty member list means an empty disk. */
byte members[HOSTS], version[HOSTS], term[HOSTS];
bool entry[HOSTS];

bool started[HOSTS], reached[HOSTS], leads[HOSTS];
byte lost = NONE;        /* the host that lost its disk and is not a voter again yet */
byte newest, lists = 1;  /* the latest term and the latest version of the member list */
bool acknowledged;

/* Voter v grants h its vote: v is reachable, its disk is not empty, and h has the entry if v has it
 * and a member list that is at least as new. */
#define votes(h, v) (member(members[h], v) && reached[v] && members[v] != 0 && (!entry[v] || entry[h]) && version[v] <= version[h])
#define elected(h) (2 * (votes(h, 0) + votes(h, 1) + votes(h, 2) + votes(h, 3)) > count(members[h]))

/* Voter v of the list is reachable and in the term of the leader h. */
#define follows(h, v, list) (member(list, v) && reached[v] && term[v] == term[h])
#define led(h, list) (2 * (follows(h, 0, list) + follows(h, 1, list) + follows(h, 2, list) + follows(h, 3, list)) > count(list))
#define stored(h, v) (follows(h, v, members[h]) && entry[v])
#define committed(h) (2 * (stored(h, 0) + stored(h, 1) + stored(h, 2) + stored(h, 3)) > count(members[h]))

/* The leader h installs the list: reachable voters store it and the entry that precedes it. */
inline install(h, list) {
	v = 0;
	do
	:: v < HOSTS ->
		if
		:: follows(h, v, list) || v == h -> members[v] = list; version[v] = lists + 1; entry[v] = entry[v] || entry[h]
		:: else -> skip
		fi;
		v++
	:: else -> break
	od;
	lists++
}

inline firstStart(h) {
	started[h] = true; reached[h] = true;
	if
	:: member(SEEDS, h) -> members[h] = SEEDS; version[h] = 1
#ifdef FOUNDS_ALONE
	:: member(SEEDS, h) -> members[h] = 1 << h; version[h] = 1
#endif
	:: !member(SEEDS, h) -> skip
	fi
}

inline loseDisk(h) {
	members[h] = 0; version[h] = 0; term[h] = 0; entry[h] = false; leads[h] = false;
	lost = h;
#ifdef FOUNDS_AGAIN
	if
	:: member(SEEDS, h) -> members[h] = SEEDS; version[h] = 1
	:: else -> skip
	fi
#endif
#ifdef VOTES_EMPTY
	members[h] = SEEDS; version[h] = 0
#endif
}

inline elect(h) {
	newest++;
	v = 0;
	do
	:: v < HOSTS ->
		if
		:: votes(h, v) || v == h -> term[v] = newest; leads[v] = false
		:: else -> skip
		fi;
		v++
	:: else -> break
	od;
	leads[h] = true;
	assert(!acknowledged || entry[h])
}

active proctype system() {
	byte h, v, j;
	do
	:: atomic {
		select(h : 0 .. 3);
		if
		:: !started[h] -> firstStart(h)
		:: started[h] -> reached[h] = !reached[h]
		:: started[h] && lost == NONE && members[h] != 0 -> loseDisk(h)
		:: members[h] != 0 && reached[h] && member(members[h], h) && newest < TERMS && elected(h) -> elect(h)
		:: leads[h] && reached[h] && !entry[h] -> entry[h] = true
		:: leads[h] && reached[h] && committed(h) -> acknowledged = true
		:: leads[h] && reached[h] && lists < LISTS ->
			select(j : 0 .. 3);
			if
			/* The leader replicates to a voter or to a joining host. */
			:: j != h && reached[j] && started[j] && term[j] <= term[h] && !(lost == j && member(members[h], j)) ->
				term[j] = term[h]; leads[j] = false; entry[j] = entry[h]; members[j] = members[h]; version[j] = version[h]
			/* A voter that lost its disk is first removed from the voters. */
			:: j == lost && member(members[h], j) && count(members[h]) > 1 && led(h, members[h]) && led(h, (members[h] & ~(1 << j))) ->
				install(h, (members[h] & ~(1 << j)))
			/* A joining host becomes a voter once it has caught up with the leader. */
			:: !member(members[h], j) && started[j] && reached[j] && led(h, members[h]) && term[j] == term[h] && entry[j] == entry[h] ->
				install(h, (members[h] | (1 << j)));
				if
				:: j == lost -> lost = NONE
				:: else -> skip
				fi
#ifdef TWO_AT_ONCE
			:: started[3] && reached[3] && !member(members[h], 3) && term[3] <= term[h] ->
				term[3] = term[h];
				install(h, ((1 << h) | (1 << 3)))
#endif
			:: else -> skip
			fi
		:: else -> skip
		fi;
		h = 0; v = 0; j = 0
	   }
	od
}
