Á¬Â«ûÀÃç¨¢Â«ûàÂç J†
Ó{"founders":["v1","v2","v3"],"members":[{"name":"v1","address":"10.0.0.1:7000"},{"name":"v2","address":"10.0.0.2:7000"},{"name":"v4","address":"10.0.0.4:7000","learner":true}],"state":"WyJmaXJzdCIsImxhc3QiXQ=="}.
(¨¢Â«ûàÂçÁ¬Â«ûÀÃç©Â«û Ãç§³Â«û€Äç	