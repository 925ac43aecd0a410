
7
e6M (юд0З:souk:otherB	K"aa(хBL"bb(d